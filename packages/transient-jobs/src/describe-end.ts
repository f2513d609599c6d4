/** Represents admissions and ends of jobs for callers, log lines and counters. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, Distribution, type Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { ActiveJob } from './active-job.js';
import {
  type TransientJob,
  type TransientJobEnd,
  TransientJobEndKind,
} from './transient-job.js';
import type { SubmittedJob } from './transient-jobs-options.js';

/** Creates the end of a job that is refused before any task was started. */
export function createRefusal(
  reason: string,
  retryAfterMilliseconds: Milliseconds,
): TransientJobEnd {
  return { kind: TransientJobEndKind.Refused, reason, retryAfterMilliseconds };
}

/** Wraps an end that is already known, for a job that does not start here. */
export function createEndedJob(end: TransientJobEnd): SubmittedJob {
  return { ended: Promise.resolve(end), abandon: () => undefined };
}

/** Fields that every log line of a job begins with. */
export function describeJobForLog({ jobId, requestId, queue }: TransientJob) {
  return { requestId, jobId, queue: queue.queue, service: queue.service };
}

/** Fields that a line on the admission or refusal of a job begins with. */
function describeDecidedJob(job: TransientJob) {
  const { configurationVersion } = job;
  return { ...describeJobForLog(job), configurationVersion };
}

/** Counts and logs an admitted job. */
export function reportAdmission(
  { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics },
  { job, tasks, dueAt, admittedAt }: ActiveJob,
  waitMilliseconds: Milliseconds,
): void {
  metrics.count(Counter.JobsAdmitted);
  logger.info('job admitted', {
    ...describeDecidedJob(job),
    tasks: tasks.length,
    heldMilliseconds: Math.round(job.heldMilliseconds),
    waitMilliseconds: Math.round(waitMilliseconds),
    dueMilliseconds: Math.round(dueAt - admittedAt),
  });
}

/** Counts and logs a refused job, and wraps its end. */
export function reportRefusal(
  { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics },
  job: TransientJob,
  end: TransientJobEnd,
): SubmittedJob {
  metrics.count(Counter.JobsRefused);
  logger.info('job refused', {
    ...describeDecidedJob(job),
    ...end,
    heldMilliseconds: Math.round(job.heldMilliseconds),
  });
  return createEndedJob(end);
}

/** Counts and logs the end of a job that was started. */
export function reportEnd(
  {
    timers,
    logger,
    metrics,
  }: {
    readonly timers: TimerService;
    readonly logger: Logger;
    readonly metrics: Metrics;
  },
  { job, admittedAt }: ActiveJob,
  end: TransientJobEnd,
): void {
  const elapsedMilliseconds = timers.now() - admittedAt;
  metrics.record(
    Distribution.ResponseMilliseconds,
    elapsedMilliseconds,
    job.queue.service,
  );
  metrics.count(chooseEndCounter(end));
  logger.info('job ended', {
    ...describeJobForLog(job),
    ...end,
    elapsedMilliseconds: Math.round(elapsedMilliseconds),
  });
}

/** Chooses the counter for an end. */
function chooseEndCounter({ kind }: TransientJobEnd): Counter {
  switch (kind) {
    case TransientJobEndKind.Completed:
      return Counter.JobsCompleted;
    case TransientJobEndKind.Refused:
      return Counter.JobsRefused;
    case TransientJobEndKind.Abandoned:
    case TransientJobEndKind.Cancelled:
      return Counter.JobsCancelled;
    case TransientJobEndKind.Failed:
    case TransientJobEndKind.GivenUp:
    case TransientJobEndKind.TimedOut:
      return Counter.JobsFailed;
  }
}
