import { JobOutcome, Started } from '@cranberryturn/types';
import test from 'ava';

import { startMemoryCluster } from './fakes/memory-cluster.js';
import { getDispatcher, submitJob } from './fakes/submit-jobs.js';

const clusterSize = {
  dispatchers: 1,
  workers: 3,
  slots: 2,
  runMilliseconds: 20,
  commitMilliseconds: 5,
};

test('a job cancelled at any moment ends at once, and no task ran if its result says "not started"', async t => {
  const outcomes: string[] = [];
  for (let cancelAt = 0; cancelAt <= 30; cancelAt += 1) {
    const cluster = await startMemoryCluster(clusterSize);
    const { dispatcher } = getDispatcher(cluster, 0);
    const submission = submitJob(getDispatcher(cluster, 0), 'job-1', 4);
    await cluster.timers.advance(cancelAt);
    void dispatcher.jobs.cancelJob('wards/job-1');
    await cluster.timers.advance(100);
    const { result } = submission;
    const name = `cancelled after ${String(cancelAt)} ms`;
    t.not(result, undefined, name);
    t.is(dispatcher.jobs.inFlight, 0, name);
    const isUnstarted =
      result?.outcome === JobOutcome.Failed && result.started === Started.No;
    outcomes.push(isUnstarted ? 'no' : (result?.outcome ?? 'none'));
    if (isUnstarted) t.is(cluster.countStarts().size, 0, name);
    await cluster.stop();
  }
  t.log(outcomes.join(' '));
  t.true(outcomes.includes('no'));
  t.true(outcomes.includes(JobOutcome.Complete));
});

test('a dispatcher that only joined a job forwards its cancellation to the owner', async t => {
  const cluster = await startMemoryCluster({
    ...clusterSize,
    dispatchers: 3,
    runMilliseconds: 5_000,
  });
  const submissions = cluster.dispatchers.map(one =>
    submitJob(one, 'job-1', 4),
  );
  await cluster.timers.advance(100);
  const joining = getDispatcher(cluster, 2);
  void joining.dispatcher.jobs.cancelJob('wards/job-1');
  await cluster.timers.advance(500);
  for (const { result } of submissions)
    t.is(result?.outcome, JobOutcome.Failed);
  t.is(Math.max(...cluster.countStarts().values()), 1);
  await cluster.stop();
});
