import { JobOutcome, type JobResult } from '@cranberryturn/types';
import test from 'ava';

import {
  composeJob,
  type MemoryCluster,
  startMemoryCluster,
} from './fakes/memory-cluster.js';

const settleMilliseconds = 20_000;
const deadlineMilliseconds = 60_000;
const clusterSize = {
  dispatchers: 4,
  workers: 12,
  slots: 2,
  runMilliseconds: 3_000,
  targetsPerService: 4,
};

/** Lists for each worker the sorted names of the dispatchers of its sessions. */
function listSessionPeers(cluster: MemoryCluster): string[][] {
  return cluster.workers.map(({ sidecar }) =>
    sidecar
      .sessions()
      .map(session => session.peer.name)
      .sort(),
  );
}

function submitJob(
  cluster: MemoryCluster,
  position: number,
  jobId: string,
  tasks: number,
): { result: JobResult | undefined } {
  const pending: { result: JobResult | undefined } = { result: undefined };
  const job = composeJob(jobId, tasks, deadlineMilliseconds);
  void cluster.dispatchers[position]?.dispatcher.jobs
    .submitJob(job, 'request-1')
    .then(submission => {
      if ('result' in submission) pending.result = submission.result;
    });
  return pending;
}

function findMaximumStarts(cluster: MemoryCluster): number {
  return Math.max(0, ...cluster.countStarts().values());
}

test('each sidecar connects only to its subset, and each dispatcher has an equal share', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  await cluster.timers.advance(settleMilliseconds);
  const sessions = listSessionPeers(cluster);
  t.true(sessions.every(names => new Set(names).size === 2));
  t.true(sessions.every(names => names.length === 2));
  for (const { dispatcher, dispatcherId } of cluster.dispatchers) {
    const own = sessions.filter(names => names.includes(dispatcherId));
    t.true(own.length >= 5 && own.length <= 7, dispatcherId);
    t.is(dispatcher.scheduler.status().targets.length, own.length);
    t.is(dispatcher.targets.acceptor.sessions().length, own.length);
  }
  await cluster.stop();
});

test('a session is closed only when its work has ended, and no work is lost', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  await cluster.timers.advance(settleMilliseconds);
  const before = listSessionPeers(cluster);
  for (const { target } of cluster.workers) target.runMilliseconds = 15_000;
  const jobs = [0, 1, 2, 3].map(position =>
    submitJob(cluster, position, `job-${String(position)}`, 6),
  );
  await cluster.timers.advance(500);
  await cluster.startDispatcher('dispatcher-5', 'run-1');
  await cluster.timers.advance(8_000);
  const during = listSessionPeers(cluster);
  t.true(
    during.every((names, position) =>
      (before[position] ?? []).every(name => names.includes(name)),
    ),
    'sessions with work in flight are kept',
  );
  // The connections go silent before the answers are sent, just before the sessions may be closed.
  await cluster.timers.advance(6_200);
  for (const connection of cluster.network.connections) {
    connection.isSilent = connection.from.startsWith('worker');
  }
  await cluster.timers.advance(deadlineMilliseconds);
  for (const { result } of jobs) t.is(result?.outcome, JobOutcome.Complete);
  t.is(findMaximumStarts(cluster), 1);
  const after = listSessionPeers(cluster);
  const moved = after.filter(names => names.includes('dispatcher-5'));
  t.true(moved.length >= 3, 'the new dispatcher has its share');
  t.true(after.every(names => names.length === 2));
  await cluster.stop();
});

test('an adopter connects to witnesses outside its subset, and disconnects from them later', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  await cluster.timers.advance(settleMilliseconds);
  submitJob(cluster, 0, 'job-1', 12);
  await cluster.timers.advance(1_000);
  cluster.dispatchers[0]?.crash();
  const adopted = submitJob(cluster, 3, 'job-1', 12);
  await cluster.timers.advance(8_000);
  const reached = listSessionPeers(cluster).filter(names =>
    names.includes('dispatcher-4'),
  );
  t.is(reached.length, clusterSize.workers);
  await cluster.timers.advance(deadlineMilliseconds);
  t.is(adopted.result?.outcome, JobOutcome.Complete);
  t.is(findMaximumStarts(cluster), 1);
  const kept = listSessionPeers(cluster).filter(names =>
    names.includes('dispatcher-4'),
  );
  t.true(kept.length < clusterSize.workers);
  await cluster.stop();
});

test('a sidecar whose whole subset crashed connects to the dispatchers of its settings again', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  await cluster.timers.advance(settleMilliseconds);
  const [lost = []] = listSessionPeers(cluster);
  for (const one of cluster.dispatchers) {
    if (lost.includes(one.dispatcherId)) one.crash();
  }
  await cluster.timers.advance(30_000);
  const [found = []] = listSessionPeers(cluster);
  t.true(found.some(name => !lost.includes(name)));
  await cluster.stop();
});

test('connections that go silent at any moment of a subset change lose no work', async t => {
  for (
    let offsetMilliseconds = 0;
    offsetMilliseconds <= 4_000;
    offsetMilliseconds += 500
  ) {
    const cluster = await startMemoryCluster({
      ...clusterSize,
      runMilliseconds: 200,
    });
    await cluster.timers.advance(settleMilliseconds);
    await cluster.startDispatcher('dispatcher-5', 'run-1');
    await cluster.timers.advance(offsetMilliseconds);
    for (const connection of cluster.network.connections) {
      connection.isSilent = connection.from.startsWith('worker');
    }
    const jobs = [0, 1, 2, 3].map(position =>
      submitJob(cluster, position, `job-${String(position)}`, 6),
    );
    await cluster.timers.advance(deadlineMilliseconds);
    for (const { result } of jobs) {
      t.is(
        result?.outcome,
        JobOutcome.Complete,
        `${String(offsetMilliseconds)} ms`,
      );
    }
    t.is(findMaximumStarts(cluster), 1);
    await cluster.stop();
  }
});
