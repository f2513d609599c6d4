/** No task has two active runs while a dispatcher or a sidecar stands still. Both of its clocks go on, so it detects no suspension. */
import type { Milliseconds } from '@cranberryturn/types';
import test from 'ava';

import { getItem } from './fakes/get-item.js';
import {
  createJob,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import type { TransientJob } from './transient-job.js';

/** Callers send a job again this long after its connection broke, to any dispatcher. */
const resendMilliseconds: Milliseconds = 1_300;
const slowClockRate = 0.98;
const longRunMilliseconds: Milliseconds = 10_000;

test.failing(
  'a dispatcher that stood still starts no task whose caller has gone before it reads that the caller has gone',
  async t => {
    const found: string[] = [];
    for (const busyMilliseconds of [500, 800, 1_100, 1_400]) {
      for (const pauseAfterResend of [10, 100, 400]) {
        const fixture = await startFullWorkers(busyMilliseconds);
        const { timers, dispatchers, hosts, violations } = fixture;
        const other = getItem(dispatchers, 0);
        const paused = getItem(dispatchers, 1);
        const caller = paused.jobs.submit(createLongJob('job', 1));
        await timers.advance(200);
        for (const { worker } of hosts)
          worker.runMilliseconds = longRunMilliseconds;
        paused.suspension.suspend();
        // The connection of the caller breaks now, which the paused dispatcher reads last.
        await timers.advance(resendMilliseconds);
        other.jobs.submit(createLongJob('job', 1));
        await timers.advance(pauseAfterResend);
        t.deepEqual(violations, []);
        t.true(hosts.some(({ worker }) => worker.activeRuns.has('job.0.0.0')));
        paused.suspension.read();
        await finishTurn();
        caller.abandon();
        paused.suspension.resume();
        await timers.advance(500);
        if (violations.length > 0)
          found.push(
            `workers busy for ${String(busyMilliseconds)} ms, paused for ${String(resendMilliseconds + pauseAfterResend)} ms: ${[...new Set(violations)].join(', ')}`,
          );
      }
    }
    t.deepEqual(found, []);
  },
);

test.failing(
  'a task of a silent sidecar is placed elsewhere only once its run there has ended',
  async t => {
    const found: string[] = [];
    for (let phase = 0; phase < 100; phase += 5) {
      for (const freezeAfter of [305, 605, 905]) {
        const { timers, dispatchers, hosts, violations } =
          await startJobsFixture({
            dispatchers: 1,
            workers: 2,
            processors: 1,
            clockRate: slowClockRate,
          });
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
  },
);

/** Two dispatchers and two workers, which tasks of the first dispatcher keep busy. */
async function startFullWorkers(
  busyMilliseconds: Milliseconds,
): Promise<JobsFixture> {
  const fixture = await startJobsFixture({
    dispatchers: 2,
    workers: 2,
    processors: 1,
  });
  for (const { worker } of fixture.hosts)
    worker.runMilliseconds = busyMilliseconds;
  getItem(fixture.dispatchers, 0).jobs.submit(createLongJob('first', 2));
  await fixture.timers.advance(100);
  return fixture;
}

function createLongJob(jobId: string, tasks: number): TransientJob {
  return createJob(jobId, tasks, {
    step: { estimatedMilliseconds: 300 },
    deadlineMilliseconds: 20_000,
  });
}

/** Lets a process finish a turn of the event loop, with all that its promises lead to. */
async function finishTurn(): Promise<void> {
  await new Promise<void>(resolve => {
    process.nextTick(resolve);
  });
}
