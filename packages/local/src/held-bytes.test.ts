import {
  SubmissionResultKind,
  SubmissionRefusal,
} from '@cranberryturn/dispatcher';
import {
  DecisionKind,
  JobOutcome,
  type Milliseconds,
} from '@cranberryturn/types';
import test from 'ava';

import { startMemoryCluster } from './fakes/memory-cluster.js';
import { getDispatcher, submitJob } from './fakes/submit-jobs.js';

const answersKeptMilliseconds: Milliseconds = 600_000;

test('a dispatcher at its limit of held bytes refuses a job before the claim, and takes it once there is room', async t => {
  const cluster = await startMemoryCluster({
    dispatchers: 1,
    workers: 1,
    slots: 2,
    runMilliseconds: 20,
    heldBytes: 100,
  });
  const owner = getDispatcher(cluster, 0);
  const { jobs } = owner.dispatcher;
  const first = submitJob(owner, 'job-1', 8);
  const { heldBytes } = jobs;
  const refused = submitJob(owner, 'job-2', 8);
  await cluster.timers.advance(500);
  t.is(first.result?.outcome, JobOutcome.Complete);
  t.like(refused.submission, {
    kind: SubmissionResultKind.Refused,
    refusal: SubmissionRefusal.Unavailable,
    retryAfterMilliseconds: 1_000,
  });
  t.true(heldBytes > 0 && heldBytes <= 100);
  const claimed = cluster.decisions.filter(
    one => one.kind === DecisionKind.Claimed,
  );
  t.true(claimed.length > 0);
  t.true(claimed.every(one => one.jobId === 'wards/job-1'));
  await cluster.timers.advance(answersKeptMilliseconds);
  const again = submitJob(owner, 'job-2', 8);
  await cluster.timers.advance(500);
  t.is(again.result?.outcome, JobOutcome.Complete);
  await cluster.stop();
});
