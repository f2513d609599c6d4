import { JobOutcome, Started } from '@cranberryturn/types';
import test from 'ava';

import { startMemoryCluster } from './fakes/memory-cluster.js';
import {
  deadlineMilliseconds,
  getDispatcher,
  findMaximumStarts,
  submitJob,
} from './fakes/submit-jobs.js';

const clusterSize = {
  dispatchers: 2,
  workers: 3,
  slots: 2,
  runMilliseconds: 20,
};

test('a dispatcher crash at any step of a job loses no task and starts none twice', async t => {
  const outcomes: string[] = [];
  for (let killAt = 0; killAt <= 60; killAt += 2) {
    const cluster = await startMemoryCluster(clusterSize);
    const first = getDispatcher(cluster, 0);
    const second = getDispatcher(cluster, 1);
    submitJob(first, 'job-1', 10);
    await cluster.timers.advance(killAt);
    first.crash();
    const adopted = submitJob(second, 'job-1', 10);
    await cluster.timers.advance(deadlineMilliseconds + 1_000);
    outcomes.push(`${String(killAt)}: ${adopted.result?.outcome ?? 'none'}`);
    t.is(findMaximumStarts(cluster), 1, `killed after ${String(killAt)} ms`);
    t.is(adopted.result?.outcome, JobOutcome.Complete, outcomes.at(-1));
    await cluster.stop();
  }
  t.log(outcomes.join(', '));
});

test('a job whose worker and dispatcher are lost together fails as possibly started', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  const first = getDispatcher(cluster, 0);
  submitJob(first, 'job-1', 6);
  await cluster.timers.advance(15);
  first.crash();
  cluster.workers[0]?.sidecar.kill();
  cluster.startWorker('worker-1', 'run-2');
  await cluster.timers.advance(2_000);
  const adopted = submitJob(getDispatcher(cluster, 1), 'job-1', 6);
  await cluster.timers.advance(deadlineMilliseconds + 1_000);
  t.is(findMaximumStarts(cluster), 1);
  const { result } = adopted;
  t.is(result?.outcome, JobOutcome.Failed);
  t.not(result?.outcome === JobOutcome.Failed && result.started, Started.No);
  await cluster.stop();
});

test('an adopter does not start again the tasks that a crashed dispatcher started', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  const first = getDispatcher(cluster, 0);
  submitJob(first, 'job-1', 10);
  await cluster.timers.advance(25);
  first.crash();
  const again = submitJob(getDispatcher(cluster, 1), 'job-1', 10);
  const third = submitJob(getDispatcher(cluster, 1), 'job-1', 10);
  await cluster.timers.advance(deadlineMilliseconds);
  t.is(findMaximumStarts(cluster), 1);
  t.deepEqual(again.result, third.result);
  t.is(again.result?.outcome, JobOutcome.Complete);
  await cluster.stop();
});

test('a job whose owner is cut off from the other dispatcher is adopted, and no task starts twice', async t => {
  const cluster = await startMemoryCluster({
    ...clusterSize,
    runMilliseconds: 500,
  });
  const first = getDispatcher(cluster, 0);
  const second = getDispatcher(cluster, 1);
  const port = first.dispatcher.peersAddress.port;
  cluster.network.closedPorts.add(port);
  const original = submitJob(first, 'job-1', 20);
  await cluster.timers.advance(50);
  const adopted = submitJob(second, 'job-1', 20);
  await cluster.timers.advance(deadlineMilliseconds + 1_000);
  t.is(findMaximumStarts(cluster), 1);
  t.is(adopted.result?.outcome, JobOutcome.Complete);
  t.truthy(original.result);
  await cluster.stop();
});

test('500 jobs, each submitted to two dispatchers, start each task once', async t => {
  const cluster = await startMemoryCluster(clusterSize);
  const pairs: ReturnType<typeof submitJob>[][] = [];
  for (let round = 0; round < 500; round += 1) {
    const jobId = `job-${String(round)}`;
    pairs.push([
      submitJob(getDispatcher(cluster, round % 2), jobId, 3),
      submitJob(getDispatcher(cluster, (round + 1) % 2), jobId, 3),
    ]);
    await cluster.timers.advance(round % 7);
  }
  await cluster.timers.advance(deadlineMilliseconds);
  t.is(findMaximumStarts(cluster), 1);
  for (const [left, right] of pairs) {
    t.is(left?.result?.outcome, JobOutcome.Complete);
    t.deepEqual(left?.result, right?.result);
  }
  await cluster.stop();
});

test('results that arrive while another witness is still silent are not lost', async t => {
  const cluster = await startMemoryCluster({
    ...clusterSize,
    runMilliseconds: 200,
  });
  const first = getDispatcher(cluster, 0);
  submitJob(first, 'job-1', 6);
  await cluster.timers.advance(50);
  first.crash();
  for (const connection of cluster.network.connections) {
    const isSilenced =
      connection.from === 'worker-3' && connection.to === 'dispatcher-2';
    if (isSilenced) connection.isSilent = true;
  }
  const adopted = submitJob(getDispatcher(cluster, 1), 'job-1', 6);
  await cluster.timers.advance(10_000);
  t.is(findMaximumStarts(cluster), 1);
  t.is(adopted.result?.outcome, JobOutcome.Complete);
  await cluster.stop();
});
