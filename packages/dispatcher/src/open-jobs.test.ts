import { createMetrics } from '@cranberryturn/metrics';
import { TaskOutcomeKind } from '@cranberryturn/scheduling';
import { createManualTimerService } from '@cranberryturn/timers';
import { JobOutcome, Started } from '@cranberryturn/types';
import test from 'ava';

import { OpenJobs, type OpenJobsOptions } from './open-jobs.js';
import { JobReporter } from './report-jobs.js';

const request = {
  jobId: 'job-1',
  service: 'register-svc',
  team: 'planning',
  tasks: [{ taskId: 'task-0', payload: '{}' }],
  idempotent: false,
  deadlineMilliseconds: 1_000,
};

/** Ends a job of which no task was started here, and returns what its caller is told. */
function endUnstartedJob(hasPaused: boolean, claimedEpoch: number | undefined) {
  const timers = createManualTimerService();
  const metrics = createMetrics({ role: 'dispatcher', process: 'd1', timers });
  const control = {
    claims: { finishClaim: () => undefined },
  } as unknown as OpenJobsOptions['control'];
  const jobs = new OpenJobs({
    timers,
    control,
    retention: { answersMilliseconds: 1_000, answersBytes: 1_000 },
    reporter: new JobReporter({
      timers,
      metrics,
      decisions: () => undefined,
      dispatcherId: 'd1',
    }),
    pauses: { hasPausedSince: () => hasPaused },
  });
  const job = jobs.open(request, 'request-1', 'digest');
  job.claimedEpoch = claimedEpoch;
  jobs.markRunning(job);
  job.collection.recordOutcome('task-0', {
    kind: TaskOutcomeKind.NotStarted,
    reason: 'The deadline passed.',
  });
  jobs.finish(job);
  const { result } = job.entry;
  return result?.outcome === JobOutcome.Failed ? result.started : undefined;
}

test('a claimed job is not called "not started" after a pause, in which others may have run it', t => {
  t.is(endUnstartedJob(true, 1), Started.Perhaps);
  t.is(endUnstartedJob(false, 1), Started.No);
  t.is(endUnstartedJob(true, undefined), Started.No);
});
