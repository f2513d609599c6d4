import {
  SubmissionResultKind,
  SubmissionRefusal,
} from '@cranberryturn/dispatcher';
import { emptyConfiguration, JobOutcome } from '@cranberryturn/types';
import test from 'ava';

import { composeJob, startMemoryCluster } from './fakes/memory-cluster.js';

test('a job that finds the claim table full is not run and receives the time to retry', async t => {
  const cluster = await startMemoryCluster({
    dispatchers: 1,
    workers: 1,
    slots: 2,
    runMilliseconds: 20,
    configuration: {
      ...emptyConfiguration,
      claimRetention: {
        finishedMilliseconds: 10_000,
        unfinishedMilliseconds: 60_000,
        maximumClaims: 1,
      },
    },
  });
  const submit = async (jobId: string) => {
    const submitted = cluster.dispatchers[0]?.dispatcher.jobs.submitJob(
      composeJob(jobId, 2, 5_000),
      'request-1',
    );
    await cluster.timers.advance(2_000);
    return await submitted;
  };
  const first = await submit('job-1');
  t.is(first?.kind, SubmissionResultKind.Result);
  const second = await submit('job-2');
  t.is(second?.kind, SubmissionResultKind.Refused);
  if (second?.kind === SubmissionResultKind.Refused) {
    t.is(second.refusal, SubmissionRefusal.Unavailable);
    t.is(second.retryAfterMilliseconds, 10_000);
  }
  t.is(cluster.countStarts().get('wards/job-2 task-0'), undefined);
  await cluster.timers.advance(10_000);
  const later = await submit('job-2');
  t.is(
    later?.kind === SubmissionResultKind.Result
      ? later.result.outcome
      : undefined,
    JobOutcome.Complete,
  );
  await cluster.stop();
});
