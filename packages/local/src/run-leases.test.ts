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
/** Lease, plus the time to suspect the session and for the rounds of reports and checks. */
const expiryMilliseconds: Milliseconds = registrationLease + 10_000;
const clusterSize = {
  dispatchers: 2,
  workers: 2,
  slots: 2,
  runMilliseconds: 100,
};

function submitJob(
  cluster: MemoryCluster,
  dispatcher: number,
  jobId: string,
  tasks: number,
  deadlineMilliseconds = deadline,
): { result: JobResult | undefined } {
  const pending: { result: JobResult | undefined } = { result: undefined };
  const job = composeJob(jobId, tasks, deadlineMilliseconds);
  void cluster.dispatchers[dispatcher]?.dispatcher.jobs
    .submitJob(job, 'request-1')
    .then(submission => {
      if ('result' in submission) pending.result = submission.result;
    });
  return pending;
}

/** Cuts the worker off from every dispatcher. */
function isolateWorker(cluster: MemoryCluster, worker: string): void {
  cluster.isolatedProcesses.add(worker);
  silenceConnections(cluster, worker);
}

function silenceConnections(
  cluster: MemoryCluster,
  from: string,
  to?: string,
): void {
  for (const connection of cluster.network.connections) {
    if (connection.from !== from) continue;
    if (to === undefined || connection.to === to) connection.isSilent = true;
  }
}

function listTargets({ control }: MemoryCluster): string[] {
  return [...control.state.roster.targets.keys()];
}

function listDispatchers({ control }: MemoryCluster): string[] {
  return [...control.state.roster.dispatchers.keys()];
}

async function readInForceStates(
  cluster: MemoryCluster,
): Promise<RolloutState[]> {
  const reply = await cluster.control.administerLocally({
    method: AdministrationMethod.Status,
  });
  if (reply.kind !== AdministrationReplyKind.Done) return [];
  return (reply.view as StatusView).dispatchers.map(one => one.state);
}

function countStartedTasks(cluster: MemoryCluster, worker: number): number {
  return cluster.workers[worker]?.target.starts.size ?? 0;
}

test('a crashed dispatcher leaves the roster after its lease, and the configuration is in force without it', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  cluster.dispatchers[1]?.crash();
  await cluster.timers.advance(registrationLease - 2_000);
  t.deepEqual(listDispatchers(cluster), ['dispatcher-1', 'dispatcher-2']);
  await cluster.timers.advance(4_000);
  t.deepEqual(listDispatchers(cluster), ['dispatcher-1']);
  t.deepEqual(await readInForceStates(cluster), [RolloutState.InForce]);
  t.deepEqual(listTargets(cluster), ['worker-1', 'worker-2']);
  await cluster.stop();
});

test('a dispatcher that was unreachable registers again by itself and takes jobs', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  cluster.isolatedProcesses.add('dispatcher-2');
  silenceConnections(cluster, 'dispatcher-2');
  await cluster.timers.advance(expiryMilliseconds);
  t.deepEqual(listDispatchers(cluster), ['dispatcher-1']);
  cluster.isolatedProcesses.clear();
  await cluster.timers.advance(10_000);
  t.deepEqual(listDispatchers(cluster), ['dispatcher-1', 'dispatcher-2']);
  const job = submitJob(cluster, 1, 'job-1', 4);
  await cluster.timers.advance(deadline);
  t.is(job.result?.outcome, JobOutcome.Complete);
  await cluster.stop();
});

test('a worker that only one dispatcher cannot reach stays in the roster', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  const port = cluster.dispatchers[1]?.dispatcher.peersAddress.port ?? 0;
  cluster.network.closedPorts.add(port);
  silenceConnections(cluster, 'worker-1', 'dispatcher-2');
  await cluster.timers.advance(2 * expiryMilliseconds);
  t.deepEqual(listTargets(cluster), ['worker-1', 'worker-2']);
  t.deepEqual(listDispatchers(cluster), ['dispatcher-1', 'dispatcher-2']);
  await cluster.stop();
});

test('a worker that returns after its lease expired registers again and gets work', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  const before = cluster.control.state.roster.targets.get('worker-1');
  isolateWorker(cluster, 'worker-1');
  await cluster.timers.advance(expiryMilliseconds);
  t.deepEqual(listTargets(cluster), ['worker-2']);
  cluster.isolatedProcesses.clear();
  await cluster.timers.advance(10_000);
  const after = cluster.control.state.roster.targets.get('worker-1');
  t.is(after?.incarnation, before?.incarnation);
  t.true((after?.registeredAt ?? 0) > (before?.registeredAt ?? 0));
  const job = submitJob(cluster, 0, 'job-1', 8);
  await cluster.timers.advance(deadline);
  t.is(job.result?.outcome, JobOutcome.Complete);
  t.true(countStartedTasks(cluster, 0) > 0);
  await cluster.stop();
});

for (const isWorkerReturning of [true, false]) {
  test(`an adopter ${isWorkerReturning ? 'counts the answers' : 'does not start the tasks'} of a worker whose lease expired and that ${isWorkerReturning ? 'returns' : 'stays away'}`, async t => {
    const cluster = await startMemoryCluster({
      ...clusterSize,
      runMilliseconds: 1_000,
    });
    submitJob(cluster, 0, 'job-1', 4, 2 * expiryMilliseconds);
    await cluster.timers.advance(50);
    cluster.dispatchers[0]?.crash();
    isolateWorker(cluster, 'worker-1');
    await cluster.timers.advance(expiryMilliseconds);
    t.deepEqual(listTargets(cluster), ['worker-2']);
    const adopted = submitJob(cluster, 1, 'job-1', 4, expiryMilliseconds);
    await cluster.timers.advance(2_000);
    if (isWorkerReturning) cluster.isolatedProcesses.clear();
    await cluster.timers.advance(expiryMilliseconds + 1_000);
    t.deepEqual(
      [...cluster.countStarts().values()],
      [1, 1, 1, 1],
      'a task started twice or never',
    );
    t.is(
      adopted.result?.outcome,
      isWorkerReturning ? JobOutcome.Complete : JobOutcome.Failed,
    );
    if (adopted.result?.outcome === JobOutcome.Failed) {
      t.not(adopted.result.started, Started.No);
    }
    await cluster.stop();
  });
}
