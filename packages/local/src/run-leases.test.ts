import { RolloutState, type StatusView } from '@cranberryturn/configuration';
import {
  AdministrationMethod,
  AdministrationReplyKind,
} from '@cranberryturn/control';
import {
  JobOutcome,
  type JobResult,
  type Milliseconds,
  Started,
} from '@cranberryturn/types';
import { registrationLease } from '@cranberryturn/wire';
import test from 'ava';

import {
  composeJob,
  type MemoryCluster,
  startMemoryCluster,
} from './fakes/memory-cluster.js';

const deadline: Milliseconds = 5_000;
/** Lease, suspicion of the session and the rounds of reports and checks. */
const expiry: Milliseconds = registrationLease + 10_000;
const small = { dispatchers: 2, workers: 2, slots: 2, runMilliseconds: 100 };

function submit(
  cluster: MemoryCluster,
  dispatcher: number,
  jobId: string,
  tasks: number,
  deadlineMilliseconds = deadline,
): { result: JobResult | undefined } {
  const box: { result: JobResult | undefined } = { result: undefined };
  const job = composeJob(jobId, tasks, deadlineMilliseconds);
  void cluster.dispatchers[dispatcher]?.dispatcher.jobs
    .submitJob(job, 'request-1')
    .then(submission => {
      if ('result' in submission) box.result = submission.result;
    });
  return box;
}

/** Nothing passes between the worker and any dispatcher from now on. */
function isolate(cluster: MemoryCluster, worker: string): void {
  cluster.isolated.add(worker);
  silence(cluster, worker);
}

function silence(cluster: MemoryCluster, from: string, to?: string): void {
  for (const connection of cluster.network.connections) {
    if (connection.from !== from) continue;
    if (to === undefined || connection.to === to) connection.isSilent = true;
  }
}

function targetsOf({ control }: MemoryCluster): string[] {
  return [...control.state.roster.targets.keys()];
}

function dispatchersOf({ control }: MemoryCluster): string[] {
  return [...control.state.roster.dispatchers.keys()];
}

async function readInForce(cluster: MemoryCluster): Promise<RolloutState[]> {
  const reply = await cluster.control.administerLocally({
    method: AdministrationMethod.Status,
  });
  if (reply.kind !== AdministrationReplyKind.Done) return [];
  return (reply.view as StatusView).dispatchers.map(one => one.state);
}

function startsAt(cluster: MemoryCluster, worker: number): number {
  return cluster.workers[worker]?.target.starts.size ?? 0;
}

test('a dispatcher that died leaves the roster after its lease, and the version is in force without it', async t => {
  const cluster = await startMemoryCluster(small);
  cluster.dispatchers[1]?.crash();
  await cluster.timers.advance(registrationLease - 2_000);
  t.deepEqual(dispatchersOf(cluster), ['dispatcher-1', 'dispatcher-2']);
  await cluster.timers.advance(4_000);
  t.deepEqual(dispatchersOf(cluster), ['dispatcher-1']);
  t.deepEqual(await readInForce(cluster), [RolloutState.InForce]);
  t.deepEqual(targetsOf(cluster), ['worker-1', 'worker-2']);
  await cluster.stop();
});

test('a dispatcher that comes back from silence registers again by itself and takes jobs', async t => {
  const cluster = await startMemoryCluster(small);
  cluster.isolated.add('dispatcher-2');
  silence(cluster, 'dispatcher-2');
  await cluster.timers.advance(expiry);
  t.deepEqual(dispatchersOf(cluster), ['dispatcher-1']);
  cluster.isolated.clear();
  await cluster.timers.advance(10_000);
  t.deepEqual(dispatchersOf(cluster), ['dispatcher-1', 'dispatcher-2']);
  const job = submit(cluster, 1, 'job-1', 4);
  await cluster.timers.advance(deadline);
  t.is(job.result?.outcome, JobOutcome.Complete);
  await cluster.stop();
});

test('a worker that only one dispatcher has lost stays in the roster', async t => {
  const cluster = await startMemoryCluster(small);
  const port = cluster.dispatchers[1]?.dispatcher.peersAddress.port ?? 0;
  cluster.network.closedPorts.add(port);
  silence(cluster, 'worker-1', 'dispatcher-2');
  await cluster.timers.advance(2 * expiry);
  t.deepEqual(targetsOf(cluster), ['worker-1', 'worker-2']);
  t.deepEqual(dispatchersOf(cluster), ['dispatcher-1', 'dispatcher-2']);
  await cluster.stop();
});

test('a worker that returns after its lease registers again and gets work', async t => {
  const cluster = await startMemoryCluster(small);
  const before = cluster.control.state.roster.targets.get('worker-1');
  isolate(cluster, 'worker-1');
  await cluster.timers.advance(expiry);
  t.deepEqual(targetsOf(cluster), ['worker-2']);
  cluster.isolated.clear();
  await cluster.timers.advance(10_000);
  const after = cluster.control.state.roster.targets.get('worker-1');
  t.is(after?.incarnation, before?.incarnation);
  t.true((after?.registeredAt ?? 0) > (before?.registeredAt ?? 0));
  const job = submit(cluster, 0, 'job-1', 8);
  await cluster.timers.advance(deadline);
  t.is(job.result?.outcome, JobOutcome.Complete);
  t.true(startsAt(cluster, 0) > 0);
  await cluster.stop();
});

for (const returns of [true, false]) {
  test(`an adopter ${returns ? 'counts the answers' : 'does not start the tasks'} of a worker whose lease passed and that ${returns ? 'returns' : 'stays away'}`, async t => {
    const cluster = await startMemoryCluster({
      ...small,
      runMilliseconds: 1_000,
    });
    submit(cluster, 0, 'job-1', 4, 2 * expiry);
    await cluster.timers.advance(50);
    cluster.dispatchers[0]?.crash();
    isolate(cluster, 'worker-1');
    await cluster.timers.advance(expiry);
    t.deepEqual(targetsOf(cluster), ['worker-2']);
    const adopted = submit(cluster, 1, 'job-1', 4, expiry);
    await cluster.timers.advance(2_000);
    if (returns) cluster.isolated.clear();
    await cluster.timers.advance(expiry + 1_000);
    t.deepEqual(
      [...cluster.countStarts().values()],
      [1, 1, 1, 1],
      'a task started twice or never',
    );
    t.is(
      adopted.result?.outcome,
      returns ? JobOutcome.Complete : JobOutcome.Failed,
    );
    if (adopted.result?.outcome === JobOutcome.Failed) {
      t.not(adopted.result.started, Started.No);
    }
    await cluster.stop();
  });
}
