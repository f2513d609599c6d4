import type { Milliseconds } from '@cranberryturn/types';
import test from 'ava';

import { getItem } from './fakes/get-item.js';
import {
  createJob,
  type FakeDispatcher,
  type JobsFixture,
  listAllDispatchers,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { CancelOutcome } from './job-cancels.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

const runMilliseconds: Milliseconds = 60_000;
const answerMilliseconds: Milliseconds = 700;

async function start(): Promise<JobsFixture> {
  const fixture = await startJobsFixture({
    dispatchers: 3,
    workers: 2,
    processors: 2,
  });
  for (const { worker } of fixture.hosts)
    worker.runMilliseconds = runMilliseconds;
  await listAllDispatchers(fixture);
  return fixture;
}

function submit({ jobs }: FakeDispatcher, jobId = 'job'): TransientJobEnd[] {
  const ends: TransientJobEnd[] = [];
  const job = createJob(jobId, 2, {
    deadlineMilliseconds: 2 * runMilliseconds,
  });
  void jobs.submit(job).ended.then(end => ends.push(end));
  return ends;
}

function cancel({ jobs }: FakeDispatcher, jobId = 'job'): CancelOutcome[] {
  const outcomes: CancelOutcome[] = [];
  void jobs.cancel(jobId).then(outcome => outcomes.push(outcome));
  return outcomes;
}

function countActiveRuns({ hosts }: JobsFixture): number {
  return hosts.reduce((sum, { worker }) => sum + worker.activeRuns.size, 0);
}

function countStarts({ hosts }: JobsFixture): number {
  return hosts.reduce((sum, { worker }) => sum + worker.starts.length, 0);
}

test('a cancel at another dispatcher than that of the job ends the job and its runs', async t => {
  const fixture = await start();
  const { timers, dispatchers } = fixture;
  const ends = submit(getItem(dispatchers, 0));
  await timers.advance(100);
  t.is(countActiveRuns(fixture), 2);
  const outcomes = cancel(getItem(dispatchers, 1));
  await timers.advance(100);
  t.deepEqual(outcomes, [CancelOutcome.Ended]);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Cancelled }]);
  t.is(countActiveRuns(fixture), 0);
});

test('a job is not reported as unknown while a dispatcher that may have it is silent', async t => {
  const fixture = await start();
  const { timers, dispatchers } = fixture;
  const silent = getItem(dispatchers, 0);
  submit(silent);
  await timers.advance(100);
  silent.suspension.suspend();
  const outcomes = cancel(getItem(dispatchers, 1));
  await timers.advance(answerMilliseconds);
  t.deepEqual(outcomes, [CancelOutcome.Unanswered]);
  silent.suspension.resume();
  await timers.advance(1_000);
  cancel(getItem(dispatchers, 1));
  await timers.advance(200);
  t.is(countActiveRuns(fixture), 0);
});

test('a dispatcher that is down, or not yet known, is not taken for one without the job', async t => {
  const fixture = await start();
  const { timers, dispatchers } = fixture;
  getItem(dispatchers, 0).suspension.end();
  const downOutcomes = cancel(getItem(dispatchers, 1));
  await timers.advance(answerMilliseconds);
  t.deepEqual(downOutcomes, [CancelOutcome.Unanswered]);
  fixture.listDispatchers([2]);
  const unlisted = cancel(getItem(dispatchers, 1));
  await timers.advance(100);
  t.deepEqual(unlisted, [CancelOutcome.Unanswered]);
});

test('a job that has just ended is unknown although another dispatcher is down', async t => {
  const { timers, dispatchers } = await start();
  getItem(dispatchers, 0).suspension.end();
  const { jobs } = getItem(dispatchers, 2);
  const { abandon } = jobs.submit(createJob('job', 1));
  await timers.advance(50);
  abandon();
  const outcomes = cancel(getItem(dispatchers, 1));
  await timers.advance(answerMilliseconds);
  t.deepEqual(outcomes, [CancelOutcome.Unknown]);
});

test('a job that no dispatcher has is unknown', async t => {
  const { timers, dispatchers } = await start();
  const outcomes = cancel(getItem(dispatchers, 1));
  await timers.advance(100);
  t.deepEqual(outcomes, [CancelOutcome.Unknown]);
});

test('a job whose submission crosses its cancel, or is repeated after it, is not at work afterwards', async t => {
  const fixture = await start();
  const { timers, dispatchers } = fixture;
  for (let delay = 0; delay <= 60; delay += 1) {
    const jobId = `job-${String(delay)}`;
    const startsBefore = countStarts(fixture);
    let outcomes: CancelOutcome[] = [];
    timers.after(30, () => {
      outcomes = cancel(getItem(dispatchers, 1), jobId);
    });
    timers.after(delay, () => submit(getItem(dispatchers, 0), jobId));
    await timers.advance(200);
    const starts = countStarts(fixture);
    const repeated = submit(getItem(dispatchers, 2), jobId);
    await timers.advance(200);
    t.is(outcomes.length, 1, jobId);
    t.not(outcomes[0], CancelOutcome.Unanswered, jobId);
    if (outcomes[0] === CancelOutcome.Unknown)
      t.is(starts, startsBefore, jobId);
    t.deepEqual(repeated, [{ kind: TransientJobEndKind.Cancelled }]);
    t.is(countStarts(fixture), starts, jobId);
    t.is(countActiveRuns(fixture), 0, jobId);
  }
});
