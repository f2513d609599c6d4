/** Sessions of sidecars with a part of the dispatchers, while the list of dispatchers changes under load. */
import { createRandomSource } from '@cranberryturn/random';
import test from 'ava';

import { getItem } from './fakes/get-item.js';
import {
  createJob,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

const sessionsPerSidecar = 8;
const dispatchers = 16;
const workers = 16;
const runMilliseconds = 100;

function listRange(from: number, to: number): readonly number[] {
  return Array.from({ length: to - from }, (_, at) => from + at);
}

async function start(count = dispatchers): Promise<JobsFixture> {
  const fixture = await startJobsFixture({
    dispatchers: count,
    workers,
    processors: 8,
    seeds: 3,
  });
  for (const { worker } of fixture.hosts) {
    worker.chooseRunMilliseconds = () => runMilliseconds;
  }
  return fixture;
}

function countSessions({ hosts }: JobsFixture): readonly number[] {
  return hosts.map(({ gate }) => gate.listSessions().length);
}

/** Submits a small job to a random dispatcher of the list every 10 ms. */
async function playLoad(
  { timers, dispatchers: all }: JobsFixture,
  listed: readonly number[],
  milliseconds: number,
): Promise<TransientJobEnd[]> {
  const random = createRandomSource(20_261_204);
  const ends: TransientJobEnd[] = [];
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
    const number = getItem(listed, random.below(listed.length));
    const jobId = `job-${String(timers.now())}-${String(number)}`;
    const { jobs } = getItem(all, number);
    void jobs.submit(createJob(jobId, 3)).ended.then(end => ends.push(end));
    await timers.advance(10);
  }
  await timers.advance(1_000);
  return ends;
}

test('sidecars that know three seeds hold sessions with eight dispatchers each, and leave the others', async t => {
  const fixture = await start();
  t.deepEqual([...new Set(countSessions(fixture))], [3]);
  fixture.listDispatchers(listRange(0, dispatchers));
  await fixture.timers.advance(5_000);
  t.deepEqual([...new Set(countSessions(fixture))], [sessionsPerSidecar]);
  const known = fixture.dispatchers.map(({ jobs }) =>
    jobs.workers.countUsableWorkers(),
  );
  t.is(
    known.reduce((sum, count) => sum + count, 0),
    workers * sessionsPerSidecar,
  );
  t.true(known.every(count => count >= 2));
});

test('sidecars without a coordinator hold sessions with eight of the dispatchers as well, and run their jobs', async t => {
  const count = 18;
  const fixture = await start(count);
  fixture.listDispatchers(listRange(0, count));
  await fixture.timers.advance(5_000);
  t.deepEqual([...new Set(countSessions(fixture))], [sessionsPerSidecar]);
  const ends = await playLoad(fixture, listRange(0, count), 1_000);
  t.true(ends.length >= 100);
  t.true(ends.every(({ kind }) => kind === TransientJobEndKind.Completed));
  t.deepEqual(fixture.violations, []);
});

test('no job is lost or run twice while sessions move to other dispatchers', async t => {
  const fixture = await start();
  fixture.listDispatchers(listRange(0, 12));
  await fixture.timers.advance(5_000);
  fixture.listDispatchers(listRange(0, dispatchers));
  const ends = await playLoad(fixture, listRange(0, 12), 4_000);
  t.true(ends.length >= 400);
  t.true(ends.every(({ kind }) => kind === TransientJobEndKind.Completed));
  t.deepEqual(fixture.violations, []);
  t.deepEqual([...new Set(countSessions(fixture))], [sessionsPerSidecar]);
  const starts = fixture.hosts.flatMap(({ worker }) => worker.starts);
  t.is(starts.length, ends.length * 3);
});

test('a sidecar that hears none of its dispatchers starts over from the seeds', async t => {
  const fixture = await start();
  fixture.listDispatchers(listRange(0, dispatchers));
  await fixture.timers.advance(5_000);
  const { gate, name } = getItem(fixture.hosts, 0);
  const chosen = new Set(
    gate.listSessions().map(({ dispatcherId }) => dispatcherId),
  );
  const seeds = ['dispatcher-0', 'dispatcher-1', 'dispatcher-2'];
  t.false(seeds.every(seed => chosen.has(seed)));
  for (const dispatcherId of chosen)
    fixture.network.partition(name, dispatcherId);
  await fixture.timers.advance(8_000);
  const connected = gate.listSessions().map(one => one.dispatcherId);
  t.deepEqual(
    connected.toSorted(),
    seeds.filter(seed => !chosen.has(seed)),
  );
});
