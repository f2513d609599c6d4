/** Admission under scarcity while dispatchers and workers fail. */
import test from 'ava';

import { getItem } from '../fakes/get-item.js';
import {
  createJob,
  createQueue,
  type JobsFixture,
  startJobsFixture,
} from '../fakes/jobs-fixture.js';
import { type TransientJobEnd, TransientJobEndKind } from '../transient-job.js';
import {
  defaultScarcitySettings,
  type ScarcitySettings,
} from './scarcity-settings.js';

/** Without left-over capacity, so that what is admitted shows the expected wait. */
const withoutLeftOver = { ...defaultScarcitySettings, leftOverEndFactor: 0 };
const runMilliseconds = 400;
const longQueue = createQueue({ queue: 'status', priority: 2 });
const urgentQueue = createQueue({ queue: 'lookup', priority: 0 });

function startFixture(
  dispatchers = 2,
  scarcity: ScarcitySettings = withoutLeftOver,
): Promise<JobsFixture> {
  return startJobsFixture({
    dispatchers,
    workers: 4,
    processors: 5,
    scarcity,
  });
}

function submitMany(
  fixture: JobsFixture,
  dispatcher: number,
  count: number,
  queue = longQueue,
  tasks = 4,
): readonly Promise<TransientJobEnd>[] {
  const prefix = `${queue.queue}-${String(fixture.timers.now())}`;
  return Array.from({ length: count }, (_, number) => {
    const job = createJob(`${prefix}-${String(number)}`, tasks, {
      queue,
      step: { estimatedMilliseconds: runMilliseconds },
    });
    return getItem(fixture.dispatchers, dispatcher).jobs.submit(job).ended;
  });
}

async function countEnds(
  fixture: JobsFixture,
  ends: readonly Promise<TransientJobEnd>[],
): Promise<Readonly<Record<string, number>>> {
  await fixture.timers.advance(8_000);
  const counts: Record<string, number> = {};
  for (const { kind } of await Promise.all(ends))
    counts[kind] = (counts[kind] ?? 0) + 1;
  return counts;
}

function setRunTimes({ hosts }: JobsFixture): void {
  for (const { worker } of hosts) worker.runMilliseconds = runMilliseconds;
}

function cutOff({ network, hosts }: JobsFixture, dispatcher: number): void {
  for (const { name } of hosts)
    network.partition(`dispatcher-${String(dispatcher)}`, name);
}

/** Keeps half of the slots busy with urgent tasks for two seconds, through the first dispatcher. */
async function offerUrgentWork(fixture: JobsFixture): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    void submitMany(fixture, 0, 5, urgentQueue, 1);
    await fixture.timers.advance(200);
  }
}

test('a dispatcher counts the urgent work that another one places, and no longer once that one is cut off', async t => {
  const fixture = await startFixture();
  setRunTimes(fixture);
  await offerUrgentWork(fixture);
  const besideUrgentWork = await countEnds(
    fixture,
    submitMany(fixture, 1, 10, longQueue, 4),
  );
  await offerUrgentWork(fixture);
  cutOff(fixture, 0);
  await fixture.timers.advance(1_500);
  const afterwards = await countEnds(
    fixture,
    submitMany(fixture, 1, 10, longQueue, 4),
  );
  const admitted = (counts: Readonly<Record<string, number>>): number =>
    counts[TransientJobEndKind.Completed] ?? 0;
  t.true(
    admitted(afterwards) > admitted(besideUrgentWork),
    `${String(admitted(besideUrgentWork))} beside it, ${String(admitted(afterwards))} afterwards`,
  );
});

test('a dispatcher that joins admits jobs as soon as sidecars report to it', async t => {
  const fixture = await startFixture();
  setRunTimes(fixture);
  await getItem(fixture.dispatchers, 1).restart();
  const early = await Promise.all(submitMany(fixture, 1, 1));
  t.is(early[0]?.kind, TransientJobEndKind.Refused);
  await fixture.timers.advance(1_500);
  const counts = await countEnds(fixture, submitMany(fixture, 1, 3));
  t.deepEqual(counts, { [TransientJobEndKind.Completed]: 3 });
});

test('with the reports of all workers stale, jobs are refused at once with a time to retry', async t => {
  const fixture = await startFixture(1);
  setRunTimes(fixture);
  cutOff(fixture, 0);
  await fixture.timers.advance(600);
  const ends = await Promise.all(submitMany(fixture, 0, 5));
  for (const end of ends) {
    t.is(end.kind, TransientJobEndKind.Refused);
    if (end.kind !== TransientJobEndKind.Refused) continue;
    t.true((end.retryAfterMilliseconds ?? 0) > 0);
  }
});

test('with all workers gone, jobs are refused at once, and admitted again when workers are back', async t => {
  const fixture = await startFixture(1);
  setRunTimes(fixture);
  for (const { gate, worker } of fixture.hosts)
    gate.workerLeft(worker.run.workerId);
  await fixture.timers.advance(100);
  const [end] = await Promise.all(submitMany(fixture, 0, 1));
  t.is(end?.kind, TransientJobEndKind.Refused);
  for (const host of fixture.hosts) host.restartWorker();
  setRunTimes(fixture);
  await fixture.timers.advance(1_000);
  const counts = await countEnds(fixture, submitMany(fixture, 0, 3));
  t.deepEqual(counts, { [TransientJobEndKind.Completed]: 3 });
});

test('a worker that turns slow takes no share of the other workers with it', async t => {
  const fixture = await startFixture(1);
  setRunTimes(fixture);
  getItem(fixture.hosts, 0).worker.runMilliseconds = runMilliseconds * 10;
  const rounds: Promise<TransientJobEnd>[] = [];
  for (let round = 0; round < 10; round += 1) {
    rounds.push(...submitMany(fixture, 0, 2, longQueue, 4));
    await fixture.timers.advance(500);
  }
  const counts = await countEnds(fixture, rounds);
  t.true((counts[TransientJobEndKind.Completed] ?? 0) >= 14);
  t.deepEqual(fixture.violations, []);
});

test('the caller of a refused job that returns in time goes before a new one', async t => {
  // Tasks are long beside the objective here, so that a small preference would decide nothing.
  const fixture = await startFixture(1, {
    ...withoutLeftOver,
    floorShare: 0,
    wideJobShare: 0,
    returnEndFactor: 1.25,
  });
  setRunTimes(fixture);
  const { jobs } = getItem(fixture.dispatchers, 0);
  const createAgain = (jobId: string) =>
    createJob(jobId, 4, {
      queue: longQueue,
      step: { estimatedMilliseconds: runMilliseconds },
    });
  void submitMany(fixture, 0, 12);
  const [first] = await Promise.all([
    jobs.submit(createAgain('returning')).ended,
  ]);
  t.is(first.kind, TransientJobEndKind.Refused);
  if (first.kind !== TransientJobEndKind.Refused) return;
  await fixture.timers.advance(first.retryAfterMilliseconds ?? 0);
  // Fills the workers until a new caller is refused.
  for (let number = 0; number < 40; number += 1) {
    const job = createAgain(`new-${String(number)}`);
    const end = await Promise.race([
      jobs.submit(job).ended,
      Promise.resolve(undefined),
    ]);
    if (end?.kind === TransientJobEndKind.Refused) break;
  }
  const returned = jobs.submit(createAgain('returning')).ended;
  await fixture.timers.advance(8_000);
  t.is((await returned).kind, TransientJobEndKind.Completed);
});

test('a job admitted to left-over capacity lets every other job pass, and is answered while it is of use', async t => {
  const fixture = await startFixture(1, defaultScarcitySettings);
  setRunTimes(fixture);
  const ends = submitMany(fixture, 0, 12);
  // The first tasks end at 400 ms, so that urgent ones are in time.
  await fixture.timers.advance(250);
  const urgent = submitMany(fixture, 0, 5, urgentQueue, 1);
  let hasEnded = false;
  void Promise.all(urgent).then(() => {
    hasEnded = true;
  });
  await fixture.timers.advance(2 * runMilliseconds);
  t.true(hasEnded);
  const counts = await countEnds(fixture, ends);
  // Seven fit into the objective of 700 ms on 20 slots.
  t.true((counts[TransientJobEndKind.Completed] ?? 0) > 7);
});

test('without the option load reports are those of earlier versions, with it they name the started work', async t => {
  const plain = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 5,
  });
  const load = getItem(plain.hosts, 0).gate.getExecutor()?.load ?? {};
  t.deepEqual(Object.keys(load), [
    'free',
    'waitingWork',
    'runningWork',
    'closed',
  ]);
  const enabled = await startFixture(1);
  void submitMany(enabled, 0, 1, urgentQueue, 2);
  await enabled.timers.advance(100);
  const rates = enabled.hosts.map(
    ({ gate }) => gate.getExecutor()?.load.startedWork?.[0] ?? 0,
  );
  // Two tasks of 400 ms in the last second.
  t.is(
    rates.reduce((sum, rate) => sum + rate, 0),
    0.8,
  );
});

test('with evacuations enabled too, load reports name the started work, and jobs run outside of the evacuated data centre', async t => {
  const fixture = await startJobsFixture({
    dispatchers: 1,
    workers: 4,
    processors: 5,
    scarcity: withoutLeftOver,
    dataCentres: ['dong-da', 'long-bien'],
  });
  setRunTimes(fixture);
  fixture.evacuate(['long-bien']);
  await fixture.timers.advance(1_000);
  const ends = submitMany(fixture, 0, 10);
  await fixture.timers.advance(100);
  const loads = fixture.hosts.map(({ gate }) => gate.getExecutor()?.load);
  t.deepEqual(
    loads.map(load => load?.evacuated === true),
    [false, true, false, true],
  );
  t.deepEqual(
    loads.map(load => (load?.startedWork?.[2] ?? 0) > 0),
    [true, false, true, false],
  );
  const counts = await countEnds(fixture, ends);
  // Of 40 tasks of 400 ms, the ten processors left can start ten at once; the rest waits or would end too late.
  t.true((counts[TransientJobEndKind.Completed] ?? 0) >= 2);
  t.true((counts[TransientJobEndKind.Refused] ?? 0) > 0);
  t.deepEqual(fixture.violations, []);
});
