/** The command must blame the stage and the place that made jobs late, also with lines missing or cut. */
import test from 'ava';

import { collectJobs } from './collect-jobs.js';
import { measureIdle } from './measure-idle.js';
import { measureStages } from './measure-stages.js';
import { type LogLine, parseLogLine } from './read-log.js';
import { reportLateness } from './report-lateness.js';

const start = Date.parse('2026-12-04T10:00:00.000Z');

function write(
  milliseconds: number,
  process: string,
  message: string,
  fields: object,
): string {
  const at = new Date(start + milliseconds).toISOString();
  return ` 12.5 ${process} ${JSON.stringify({ at, level: 'info', process, message, ...fields })}`;
}

function announce(workerId: string): string {
  const capacity = { processors: 4 };
  return write(0, 'd-1', 'worker announced', { workerId, capacity });
}

/** One job of one task that waits at a busy worker for 200 ms, is given back, and runs elsewhere. */
const texts: readonly string[] = [
  announce('w-1'),
  announce('w-2'),
  write(100, 'd-1', 'job admitted', {
    jobId: 'job',
    requestId: 'request',
    queue: 'lookups',
    tasks: 1,
    heldMilliseconds: 7,
    dueMilliseconds: 150,
  }),
  write(110, 'd-1', 'tasks placed', {
    jobId: 'job',
    worker: 'w-1',
    runs: ['0.0.0/1'],
    processors: 2,
  }),
  write(112, 's-1', 'order received', {
    jobId: 'job',
    tasks: [{ taskId: '0.0.0', run: 1 }],
  }),
  write(312, 's-1', 'run ended', {
    jobId: 'job',
    taskId: '0.0.0',
    run: 1,
    outcome: 'not-started',
    runMilliseconds: 0,
  }),
  write(315, 'd-1', 'tasks placed', {
    jobId: 'job',
    worker: 'w-2',
    runs: ['0.0.0/2'],
    processors: 2,
  }),
  write(317, 's-2', 'order received', {
    jobId: 'job',
    tasks: [{ taskId: '0.0.0', run: 2 }],
  }),
  write(417, 's-2', 'run ended', {
    jobId: 'job',
    taskId: '0.0.0',
    run: 2,
    outcome: 'done',
    runMilliseconds: 100,
  }),
  write(420, 'd-1', 'job ended', { jobId: 'job', kind: 'completed' }),
  'built in 9 s',
  ' 12.5 d-1 {"at":"2026-12-04T10:00:00.100Z","process":"d-1","mess',
];

function read(lines: readonly string[]): readonly LogLine[] {
  return lines.flatMap(text => parseLogLine(text) ?? []);
}

test('the stages of a job add up to its time, and name the earlier run', t => {
  const job = collectJobs(read(texts)).jobs.get('job');
  if (job === undefined) return t.fail();
  t.snapshot(measureStages(job));
});

test('processors are idle while a task waits at a busy worker, not while it runs', t => {
  const busy = [
    write(100, 's-2', 'order received', { jobId: 'other', tasks: [] }),
    write(50, 'd-1', 'tasks placed', {
      jobId: 'other',
      worker: 'w-2',
      runs: ['0.0.0/1'],
      processors: 1,
    }),
    write(600, 's-2', 'run ended', {
      jobId: 'other',
      taskId: '0.0.0',
      run: 1,
      outcome: 'done',
      runMilliseconds: 550,
    }),
    write(40, 'd-1', 'job admitted', {
      jobId: 'other',
      requestId: 'other',
      queue: 'lookups',
      tasks: 1,
      heldMilliseconds: 0,
      dueMilliseconds: 900,
    }),
  ];
  const lines = read([...texts, ...busy]).toSorted(
    (left, right) => left.at - right.at,
  );
  t.snapshot(measureIdle(collectJobs(lines)));
});

test('the report holds all tables, and is empty but whole without lines', t => {
  t.snapshot(reportLateness(read(texts)));
  t.snapshot(reportLateness([]));
});
