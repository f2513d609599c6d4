import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import { drawChart, SeriesStyle } from '../report/draw-chart.js';
import { fitLine, evaluateLine } from './fit-line.js';
import { describeOrigin, loadResult, saveResult } from './result-file.js';

test('a line fitted to collinear points has no residual', t => {
  const line = fitLine(
    [1, 2, 4, 8].map(size => ({ size, value: 3 * size + 5 })),
  );
  t.deepEqual(line, { slope: 3, intercept: 5, residual: 0, determination: 1 });
  t.is(evaluateLine(line, 100), 305);
});

test('a quadratic curve leaves a residual, and a single size is rejected', t => {
  const quadratic = fitLine(
    [1, 2, 3, 4, 5, 6, 7, 8].map(size => ({ size, value: size ** 2 })),
  );
  t.true(quadratic.determination < 0.99);
  t.true(quadratic.residual > 0);
  t.throws(() => fitLine([{ size: 1, value: 1 }]));
});

test('a saved result is loaded with its origin, and other files are rejected', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'cranberry-bench-'));
  const path = join(folder, 'results', 'one.json');
  const origin = await describeOrigin('slopes', 5);
  (await saveResult(path, { origin, content: { points: 3 } }))._unsafeUnwrap();
  const loaded = (await loadResult(path))._unsafeUnwrap();
  t.deepEqual(loaded, { origin, content: { points: 3 } });
  t.regex(origin.commit, /^([0-9a-f]{10}|unknown)$/);
  await writeFile(path, '{"points": 3}');
  t.regex((await loadResult(path))._unsafeUnwrapErr().message, /not a result/);
  await rm(folder, { recursive: true });
});

test('a chart escapes its labels and draws each series', t => {
  const points = [
    { x: 0, y: 1 },
    { x: 10, y: 1_500 },
  ];
  t.snapshot(
    drawChart({
      title: 'a < b',
      xLabel: 'size',
      yLabel: 'cost',
      series: [
        { label: 'measured', style: SeriesStyle.Points, points },
        { label: 'line', style: SeriesStyle.Line, points },
      ],
    }),
  );
});
