/** No task has two active runs while a dispatcher or a sidecar stands still. Both of its clocks go on, so it detects no suspension. */
import type { Milliseconds } from '@cranberryturn/types';
import test from 'ava';

import { finishTurn, resendMilliseconds } from './fakes/fake-callers.js';
import { getItem } from './fakes/get-item.js';
import {
  createJob,
  createQueue,
  type JobsFixture,
  listAllDispatchers,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import type { TransientJob } from './transient-job.js';

const slowClockRate = 0.98;
const longRunMilliseconds: Milliseconds = 10_000;

/** Plays a pause in which both workers become free after the given times, and checks that the job of a caller who has gone starts no more. */
const checkPause = test.macro(
  async (
    t,
    hasSharedQueue: boolean,
    busyTimes: readonly (readonly [Milliseconds, Milliseconds])[],
  ) => {
    const found: string[] = [];
    for (const busy of busyTimes) {
      for (const pauseAfterResend of [10, 50, 100]) {
        const fixture = await startBusyWorkers(hasSharedQueue, busy);
        const { timers, dispatchers, hosts, violations } = fixture;
        const other = getItem(dispatchers, 0);
        const paused = getItem(dispatchers, 1);
        const caller = paused.jobs.submit(createLongJob('job', 1));
        await timers.advance(50);
        for (const { worker } of hosts)
          worker.runMilliseconds = longRunMilliseconds;
        paused.suspension.suspend();
        // The connection of the caller breaks now, which the paused dispatcher reads last.
        await timers.advance(resendMilliseconds);
        other.jobs.submit(createLongJob('job', 1));
        await timers.advance(pauseAfterResend);
        t.deepEqual(violations, []);
        t.true(hosts.some(({ worker }) => worker.activeRuns.has('job.0.0.0')));
        const starts = countStarts(fixture);
        paused.suspension.read();
        await finishTurn();
        caller.abandon();
        paused.suspension.resume();
        await timers.advance(500);
        if (countStarts(fixture) > starts || violations.length > 0)
          found.push(
            `busy for ${busy.join(' and ')} ms, paused for ${String(resendMilliseconds + pauseAfterResend)} ms: ${['started again', ...new Set(violations)].join(', ')}`,
          );
      }
    }
    t.deepEqual(found, []);
  },
);

test(
  'a dispatcher that stood still starts no waiting task whose caller has gone before it reads that the caller has gone',
  checkPause,
  true,
  [
    [500, 600],
    [600, 500],
    [600, 1_000],
    [1_000, 600],
  ],
);

test(
  'a dispatcher that stood still places no stopped run again whose caller has gone before it reads that the caller has gone',
  checkPause,
  false,
  [
    [500, 500],
    [800, 800],
    [1_100, 1_100],
    [1_400, 1_400],
  ],
);

test('a task of a silent sidecar is placed elsewhere only once its run there has ended', async t => {
  const found: string[] = [];
  for (let phase = 0; phase < 100; phase += 5) {
    for (const freezeAfter of [305, 605, 905]) {
      const { timers, dispatchers, hosts, violations } = await startJobsFixture(
        {
          dispatchers: 1,
          workers: 2,
          processors: 1,
          clockRate: slowClockRate,
        },
      );
      for (const { worker } of hosts)
        worker.runMilliseconds = longRunMilliseconds;
      await timers.advance(phase);
      getItem(dispatchers, 0).jobs.submit(createLongJob('job', 1));
      await timers.advance(freezeAfter);
      const frozen = hosts.find(({ worker }) => worker.activeRuns.size > 0);
      const other = hosts.find(host => host !== frozen);
      frozen?.suspension.suspend();
      await timers.advance(2 * resendMilliseconds);
      t.is(other?.worker.starts.length, 1);
      if (violations.length > 0)
        found.push(
          `submitted after ${String(phase)} ms, frozen ${String(freezeAfter)} ms later: ${[...new Set(violations)].join(', ')}`,
        );
    }
  }
  t.deepEqual(found, []);
});

/** Two dispatchers and two workers, which tasks of the first dispatcher keep busy for these times. */
async function startBusyWorkers(
  hasSharedQueue: boolean,
  busy: readonly [Milliseconds, Milliseconds],
): Promise<JobsFixture> {
  const fixture = await startJobsFixture({
    dispatchers: 2,
    workers: 2,
    processors: 1,
  });
  if (hasSharedQueue) await listAllDispatchers(fixture);
  fixture.hosts.forEach(({ worker }, position) => {
    worker.runMilliseconds = getItem(busy, position);
  });
  getItem(fixture.dispatchers, 0).jobs.submit(createLongJob('first', 2));
  await fixture.timers.advance(100);
  return fixture;
}

function countStarts({ hosts }: JobsFixture): number {
  return hosts
    .flatMap(({ worker }) => worker.starts)
    .filter(({ jobId }) => jobId === 'job').length;
}

function createLongJob(jobId: string, tasks: number): TransientJob {
  return createJob(jobId, tasks, {
    step: { estimatedMilliseconds: 300 },
    deadlineMilliseconds: 20_000,
    queue: createQueue({ slackFactor: 30, targetLatencyMilliseconds: 5_000 }),
  });
}
