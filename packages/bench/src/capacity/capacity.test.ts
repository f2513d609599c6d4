import { readFile } from 'node:fs/promises';

import test from 'ava';

import { loadResult } from '../results/result-file.js';
import type { Slope } from '../slopes/measure-slopes.js';
import { scenarios } from '../slopes/scenarios.js';
import { formatCapacityTable, replaceTables } from './capacity-table.js';
import { computeCapacity } from './compute-capacity.js';

const root = new URL('../../../../', import.meta.url);
const slopesFile = new URL('bench/results/slopes.json', root).pathname;
const pageFile = new URL('docs/CAPACITY.md', root);

async function loadSlopes() {
  return (await loadResult<readonly Slope[]>(slopesFile))._unsafeUnwrap();
}

test('the tables of docs/CAPACITY.md match the saved slopes', async t => {
  const page = await readFile(pageFile, 'utf8');
  for (const table of computeCapacity(await loadSlopes())) {
    t.true(
      page.includes(formatCapacityTable(table)),
      `Table "${table.name}" differs; run \`npm run bench -- capacity --write\`.`,
    );
  }
});

test('a changed slope changes the tables', async t => {
  const slopes = await loadSlopes();
  const page = await readFile(pageFile, 'utf8');
  const doubledBytes = slopes.content.map(slope => ({
    ...slope,
    lines: {
      ...slope.lines,
      bytes: { ...slope.lines.bytes, slope: slope.lines.bytes.slope * 2 },
    },
  }));
  const tables = computeCapacity({ ...slopes, content: doubledBytes });
  t.not(replaceTables(page, tables), page);
});

test('the saved slopes hold every scenario, at four sizes or more', async t => {
  const { content } = await loadSlopes();
  const saved = content.map(slope => slope.name).sort();
  t.deepEqual(saved, scenarios.map(one => one.name).sort());
  t.true(content.every(slope => slope.readings.length >= 4));
});
