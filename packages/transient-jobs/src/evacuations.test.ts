/** Evacuations of data centres under load, from the state at the dispatchers to the starts at the workers. */
import { Counter } from '@cranberryturn/metrics';
import test from 'ava';

import { first, getItem } from './fakes/get-item.js';
import {
  createJob,
  createQueue,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { recordSuccess, setEvacuated } from './known-worker.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

const dataCentres = ['north', 'south', 'west'];
const settleMilliseconds = 1_000;

function start(dispatchers: number, workers: number, processors = 16) {
  return startJobsFixture({ dispatchers, workers, processors, dataCentres });
}

/** Number of runs started so far, by data centre. */
function countStarts({ hosts }: JobsFixture): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { worker } of hosts) {
    const { dataCentre } = worker.run;
    counts[dataCentre] = (counts[dataCentre] ?? 0) + worker.starts.length;
  }
  return counts;
}

/** Submits a job of two tasks to each of the dispatchers in turn, one every 20 ms. */
async function playLoad(
  { timers, dispatchers }: JobsFixture,
  positions: readonly number[],
  milliseconds: number,
): Promise<TransientJobEnd[]> {
  const ends: TransientJobEnd[] = [];
  for (let step = 0; step < milliseconds / 20; step += 1) {
    const position = getItem(positions, step % positions.length);
    const { jobs } = getItem(dispatchers, position);
    const jobId = `job-${String(timers.now())}`;
    void jobs.submit(createJob(jobId, 2)).ended.then(end => ends.push(end));
    await timers.advance(20);
  }
  await timers.advance(settleMilliseconds);
  return ends;
}

function listKinds(ends: readonly TransientJobEnd[]) {
  return [...new Set(ends.map(({ kind }) => kind))];
}

test('an evacuation holds within 1 s where the dispatcher that sends orders never heard of it', async t => {
  const fixture = await start(2, 6);
  await playLoad(fixture, [1], 500);
  t.true((countStarts(fixture)['north'] ?? 0) > 0);
  fixture.evacuate(['north'], [0]);
  await playLoad(fixture, [1], 1_000);
  const { north } = countStarts(fixture);
  const ends = await playLoad(fixture, [1], 2_000);
  t.is(countStarts(fixture)['north'], north);
  t.deepEqual(listKinds(ends), [TransientJobEndKind.Completed]);
  t.deepEqual(fixture.violations, []);
});

test('a dispatcher places nothing on an evacuated worker before the reports of the sidecars arrive', async t => {
  const fixture = await start(1, 3);
  fixture.evacuate(['north']);
  const { jobs } = first(fixture.dispatchers);
  jobs.submit(createJob('job', 6));
  t.false(jobs.workers.findWorker('worker-0')?.load.closed);
  await fixture.timers.advance(200);
  const { north, south = 0, west = 0 } = countStarts(fixture);
  t.deepEqual([north, south + west], [0, 6]);
});

test('queued tasks go elsewhere in the order of their due times, and running ones end', async t => {
  const fixture = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 1,
    dataCentres,
  });
  const { timers, hosts, dispatchers } = fixture;
  const { jobs } = first(dispatchers);
  const ends: string[] = [];
  const queue = createQueue({ targetLatencyMilliseconds: 3_000 });
  const submit = (jobId: string, tasks: number) => {
    const job = createJob(jobId, tasks, { queue });
    void jobs.submit(job).ended.then(({ kind }) => ends.push(kind));
  };
  submit('running', 2);
  await timers.advance(10);
  submit('early', 2);
  await timers.advance(10);
  submit('late', 2);
  await timers.advance(10);
  fixture.evacuate(['north']);
  await timers.advance(1_000);
  const [north, south] = hosts.map(({ worker }) =>
    worker.starts.map(({ jobId }) => jobId),
  );
  t.deepEqual(north, ['running']);
  t.deepEqual(south, ['running', 'early', 'early', 'late', 'late']);
  t.deepEqual(ends, new Array(3).fill(TransientJobEndKind.Completed));
});

test('the metrics of evacuations rise: returned runs, and sidecars that do not confirm yet', async t => {
  const fixture = await start(1, 2, 1);
  const { timers, dispatchers } = fixture;
  const { jobs, metrics } = first(dispatchers);
  jobs.submit(createJob('running', 2));
  jobs.submit(createJob('queued', 2));
  await timers.advance(20);
  fixture.evacuate(['north']);
  t.true(jobs.workers.evacuations.countUnconfirmed() > 0);
  await timers.advance(1_000);
  t.is(jobs.workers.evacuations.countUnconfirmed(), 0);
  t.true(metrics.read().counters[Counter.RunsReturnedEvacuated] > 0);
});

test('a task returned for an evacuation counts against neither its limits nor its worker', async t => {
  const fixture = await start(1, 2, 1);
  const { timers, dispatchers, hosts } = fixture;
  const queue = createQueue({
    targetLatencyMilliseconds: 3_000,
    maximumFailures: 1,
  });
  const { jobs } = first(dispatchers);
  const ends: TransientJobEnd[] = [];
  for (const jobId of ['first', 'second']) {
    const job = createJob(jobId, 2, { queue });
    void jobs.submit(job).ended.then(end => ends.push(end));
  }
  for (let round = 0; round < 5; round += 1) {
    await timers.advance(10);
    fixture.evacuate(round % 2 === 0 ? ['north'] : []);
  }
  const known = jobs.workers.findWorker('worker-0');
  t.is(known?.consecutiveFailures, 0);
  t.is(known?.backoffUntil, 0);
  await timers.advance(1_000);
  t.deepEqual(listKinds(ends), [TransientJobEndKind.Completed]);
  fixture.evacuate([]);
  await timers.advance(4_000);
  jobs.submit(createJob('after', 2));
  await timers.advance(50);
  t.true(first(hosts).worker.activeRuns.size > 0);
});

test('a sidecar that restarts during an evacuation starts nothing for a dispatcher with an older state', async t => {
  const fixture = await start(2, 3);
  fixture.evacuate(['north'], [0]);
  await fixture.timers.advance(settleMilliseconds);
  await first(fixture.hosts).restartSidecar();
  const ends = await playLoad(fixture, [1], 5_000);
  t.is(countStarts(fixture)['north'], 0);
  t.deepEqual(listKinds(ends), [TransientJobEndKind.Completed]);
});

test('a dispatcher cut off from control cannot reopen a worker that loses its other dispatchers', async t => {
  const fixture = await start(2, 3);
  fixture.evacuate(['north'], [0]);
  await fixture.timers.advance(settleMilliseconds);
  fixture.network.partition('sidecar-0', 'dispatcher-0');
  await playLoad(fixture, [1], 5_000);
  t.is(countStarts(fixture)['north'], 0);
});

test('a sidecar suspended across the order starts nothing of what was sent to it meanwhile', async t => {
  const fixture = await start(2, 3);
  const { suspension } = first(fixture.hosts);
  await playLoad(fixture, [0, 1], 200);
  suspension.suspend();
  const before = countStarts(fixture)['north'];
  // Placed by the load report from before the suspension.
  const load = playLoad(fixture, [0, 1], 300);
  await fixture.timers.settle();
  fixture.evacuate(['north'], [0]);
  await load;
  await fixture.timers.advance(3_000);
  suspension.resume();
  await playLoad(fixture, [0, 1], 2_000);
  t.is(countStarts(fixture)['north'], before);
  t.deepEqual(fixture.violations, []);
});

test('several data centres are evacuated at a time', async t => {
  const fixture = await start(2, 6);
  fixture.evacuate(['north', 'south']);
  const ends = await playLoad(fixture, [0, 1], 1_000);
  t.like(countStarts(fixture), { north: 0, south: 0, west: 2 * ends.length });
  t.deepEqual(listKinds(ends), [TransientJobEndKind.Completed]);
});

test('with all data centres evacuated, a job is refused with a retry time', async t => {
  const fixture = await start(1, 3);
  fixture.evacuate(dataCentres);
  for (const wait of [0, settleMilliseconds]) {
    await fixture.timers.advance(wait);
    const { jobs } = first(fixture.dispatchers);
    const end = await jobs.submit(createJob(`job-${String(wait)}`, 1)).ended;
    t.like(end, {
      kind: TransientJobEndKind.Refused,
      retryAfterMilliseconds: 1_000,
    });
    t.is(jobs.workers.evacuations.countEvacuatedWorkers(), 3);
  }
});

test('an evacuation during the loss of another data centre leaves the work to the third', async t => {
  const fixture = await start(2, 6);
  const { network, timers, hosts } = fixture;
  for (const { name, worker } of hosts) {
    if (worker.run.dataCentre !== 'south') continue;
    network.partition(name, 'dispatcher-0');
    network.partition(name, 'dispatcher-1');
  }
  await timers.advance(100);
  fixture.evacuate(['north']);
  await timers.advance(settleMilliseconds);
  const before = countStarts(fixture);
  const ends = await playLoad(fixture, [0, 1], 1_000);
  const { north, south, west } = countStarts(fixture);
  t.is(north, before['north']);
  t.is(south, before['south']);
  t.is(west, (before['west'] ?? 0) + 2 * ends.length);
  t.deepEqual(listKinds(ends), [TransientJobEndKind.Completed]);
});

test('no task starts in an evacuated data centre after a restart of every dispatcher and sidecar', async t => {
  const fixture = await start(2, 3);
  fixture.evacuate(['north']);
  await fixture.timers.advance(settleMilliseconds);
  for (const dispatcher of fixture.dispatchers) await dispatcher.restart();
  for (const host of fixture.hosts) await host.restartSidecar();
  await fixture.timers.advance(settleMilliseconds);
  const early = await playLoad(fixture, [0, 1], 100);
  t.deepEqual(listKinds(early), [TransientJobEndKind.Refused]);
  fixture.evacuate(['north']);
  await fixture.timers.advance(100);
  const ends = await playLoad(fixture, [0, 1], 1_000);
  t.is(countStarts(fixture)['north'], 0);
  t.deepEqual(listKinds(ends), [TransientJobEndKind.Completed]);
});

test('after a withdrawal a worker gets a quarter of its capacity at first, and all of it after 3 s', async t => {
  const fixture = await start(1, 1, 16);
  const { timers, dispatchers, hosts } = fixture;
  const { worker } = first(hosts);
  worker.runMilliseconds = 10_000;
  fixture.evacuate(['north']);
  await timers.advance(settleMilliseconds);
  fixture.evacuate([]);
  await timers.advance(10);
  const { jobs } = first(dispatchers);
  const counts: number[] = [];
  for (const wait of [0, 1_000, 2_200]) {
    await timers.advance(wait);
    for (let number = 0; number < 20; number += 1)
      jobs.submit(createJob(`${String(wait)}-${String(number)}`, 1));
    await timers.advance(10);
    counts.push(worker.starts.length);
  }
  t.deepEqual(counts, [4, 7, 16]);
});

test('the speed of a worker that returns is learned anew from its first ends', async t => {
  const { dispatchers } = await start(1, 1);
  const known = first(dispatchers).jobs.workers.findWorker('worker-0');
  if (known === undefined) return t.fail();
  for (let number = 0; number < 20; number += 1) recordSuccess(known, 100, 400);
  t.true(known.speed < 0.3);
  setEvacuated(known, true, 0);
  setEvacuated(known, false, 0);
  t.is(known.speed, 1);
  for (let number = 0; number < 3; number += 1) recordSuccess(known, 100, 200);
  t.true(known.speed < 0.6, `speed ${String(known.speed)}`);
});
