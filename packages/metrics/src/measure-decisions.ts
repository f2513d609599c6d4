/** Derives metrics from the decisions of a process. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type Decision,
  DecisionKind,
  type DecisionSink,
  type JobId,
  type Milliseconds,
  type ServiceName,
} from '@cranberryturn/types';

import type { Metrics } from './metrics.js';
import { Counter, Distribution, WastedMessage } from './names.js';

/** Action of a health decision that excludes a target from placement. */
const ejectedAction = 'ejected';

const firstAttempt = 1;
/** Bound of the memory for jobs without a reply; beyond it, the oldest are no longer measured. */
const maximumAdmittedJobs = 20_000;

interface AdmittedJob {
  readonly service: ServiceName;
  readonly admittedAt: Milliseconds;
}

/** Returns a sink that updates `metrics` from each decision, and then passes it on to `decisions`. */
export function measureDecisions(
  decisions: DecisionSink,
  metrics: Metrics,
  timers: TimerService,
): DecisionSink {
  const admittedJobs = new Map<JobId, AdmittedJob>();
  return (decision, requestId) => {
    updateMetrics(decision, admittedJobs, metrics, timers);
    decisions(decision, requestId);
  };
}

function updateMetrics(
  decision: Decision,
  admittedJobs: Map<JobId, AdmittedJob>,
  metrics: Metrics,
  timers: TimerService,
): void {
  switch (decision.kind) {
    case DecisionKind.Admitted: {
      const { jobId, service } = decision;
      admittedJobs.set(jobId, { service, admittedAt: timers.now() });
      dropOldestJob(admittedJobs);
      return;
    }
    case DecisionKind.Placed: {
      const job = admittedJobs.get(decision.jobId);
      if (job === undefined || decision.attempt !== firstAttempt) return;
      const queueMilliseconds = timers.now() - job.admittedAt;
      metrics.record(
        Distribution.QueueMilliseconds,
        queueMilliseconds,
        job.service,
      );
      return;
    }
    case DecisionKind.Started:
      metrics.count(Counter.TasksStarted);
      return;
    case DecisionKind.Retried:
      metrics.countWasted(WastedMessage.RetryAttempt);
      return;
    case DecisionKind.Health:
      if (decision.action === ejectedAction)
        metrics.count(Counter.TargetsEjected);
      return;
    case DecisionKind.Refused:
    case DecisionKind.Replied:
      admittedJobs.delete(decision.jobId);
      return;
    case DecisionKind.Claimed:
    case DecisionKind.Ended:
    case DecisionKind.Leaving:
    case DecisionKind.Cancelled:
      return;
  }
}

function dropOldestJob(admittedJobs: Map<JobId, AdmittedJob>): void {
  if (admittedJobs.size <= maximumAdmittedJobs) return;
  const [oldest] = admittedJobs.keys();
  if (oldest !== undefined) admittedJobs.delete(oldest);
}
