/** The order of queued runs under the load patterns that the queue is designed for. */
import type { RunOrder } from '@cranberryturn/types';
import test from 'ava';

import { createRuns } from './active-run.js';
import { WaitingRuns } from './waiting-runs.js';

const now = 1_000;

function queue(orders: readonly (Partial<RunOrder> & { jobId: string })[]) {
  const waiting = new WaitingRuns();
  for (const order of orders) {
    const [run] = createRuns(
      {
        requestId: order.jobId,
        dispatcher: 'dispatcher-1',
        service: 'register',
        specification: '',
        need: { processors: 1, memoryMebibytes: 64, accelerators: 0 },
        priority: 1,
        estimatedMilliseconds: 100,
        dueMilliseconds: 500,
        remainingMilliseconds: 5_000,
        mayWait: true,
        tasks: [{ taskId: '0.0.0', run: 1 }],
        ...order,
      },
      { echo: now },
      now,
    );
    if (run !== undefined) waiting.add(run);
  }
  return waiting;
}

function takeAll(waiting: WaitingRuns, at: number): readonly string[] {
  const taken: string[] = [];
  for (;;) {
    const run = waiting.takeMostUrgent(at, () => true);
    if (run === undefined) return taken;
    taken.push(run.order.jobId);
  }
}

test('runs are taken by priority, then by due time', t => {
  const waiting = queue([
    { jobId: 'due-later', dueMilliseconds: 900 },
    { jobId: 'due-first', dueMilliseconds: 400 },
    { jobId: 'urgent', priority: 0, dueMilliseconds: 1_000 },
  ]);
  t.deepEqual(takeAll(waiting, now), ['urgent', 'due-first', 'due-later']);
});

test('under overload, a run that is already late does not delay runs that can still end in time', t => {
  const waiting = queue([
    { jobId: 'too-late', dueMilliseconds: 350 },
    { jobId: 'in-time', dueMilliseconds: 700 },
    { jobId: 'less-urgent', priority: 2, dueMilliseconds: 900 },
  ]);
  t.deepEqual(takeAll(waiting, now + 300), [
    'in-time',
    'too-late',
    'less-urgent',
  ]);
});

test('a run that may not start does not block the runs behind it', t => {
  const waiting = queue([
    { jobId: 'large', dueMilliseconds: 400 },
    { jobId: 'small', dueMilliseconds: 500 },
  ]);
  const taken = waiting.takeMostUrgent(now, run => run.order.jobId === 'small');
  t.is(taken?.order.jobId, 'small');
  t.is(waiting.size, 1);
});
