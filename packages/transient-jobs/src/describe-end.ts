/** Describes how jobs end: to callers, in log lines and in counters. */
import { Counter } from '@cranberryturn/metrics';
import type { Milliseconds } from '@cranberryturn/types';

import {
  type TransientJob,
  type TransientJobEnd,
  TransientJobEndKind,
} from './transient-job.js';
import type { SubmittedJob } from './transient-jobs-options.js';

/** The job is refused, and nothing of it was started. */
export function refuse(
  reason: string,
  retryAfterMilliseconds: Milliseconds,
): TransientJobEnd {
  return { kind: TransientJobEndKind.Refused, reason, retryAfterMilliseconds };
}

/** A job that ended before it began. */
export function settled(end: TransientJobEnd): SubmittedJob {
  return { ended: Promise.resolve(end), abandon: () => undefined };
}

/** What each log line of a job begins with. */
export function describeJob({ jobId, requestId, queue }: TransientJob) {
  return { requestId, jobId, queue: queue.queue, service: queue.service };
}

/** The counter of jobs that end so. */
export function countEnd({ kind }: TransientJobEnd): Counter {
  switch (kind) {
    case TransientJobEndKind.Completed:
      return Counter.JobsCompleted;
    case TransientJobEndKind.Refused:
      return Counter.JobsRefused;
    case TransientJobEndKind.Abandoned:
      return Counter.JobsCancelled;
    case TransientJobEndKind.Failed:
    case TransientJobEndKind.GivenUp:
    case TransientJobEndKind.TimedOut:
      return Counter.JobsFailed;
  }
}
