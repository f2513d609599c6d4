/** Measures what the decisions of a process tell. */
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

/** Action of a health decision that takes a target out of use. */
const ejectedAction = 'ejected';

const firstAttempt = 1;
/** Jobs whose tasks may still wait; the oldest are no longer measured when there are more. */
const maximumWaitingJobs = 20_000;

interface WaitingJob {
  readonly service: ServiceName;
  readonly admitted: Milliseconds;
}

/** Passes each decision on to `decisions` after it was measured. */
export function measureDecisions(
  decisions: DecisionSink,
  metrics: Metrics,
  timers: TimerService,
): DecisionSink {
  const waiting = new Map<JobId, WaitingJob>();
  return (decision, requestId) => {
    measure(decision, waiting, metrics, timers);
    decisions(decision, requestId);
  };
}

function measure(
  decision: Decision,
  waiting: Map<JobId, WaitingJob>,
  metrics: Metrics,
  timers: TimerService,
): void {
  switch (decision.kind) {
    case DecisionKind.Admitted: {
      const { jobId, service } = decision;
      waiting.set(jobId, { service, admitted: timers.now() });
      dropOldest(waiting);
      return;
    }
    case DecisionKind.Placed: {
      const job = waiting.get(decision.jobId);
      if (job === undefined || decision.attempt !== firstAttempt) return;
      const waited = timers.now() - job.admitted;
      metrics.record(Distribution.QueueMilliseconds, waited, job.service);
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
      waiting.delete(decision.jobId);
      return;
    case DecisionKind.Claimed:
    case DecisionKind.Ended:
    case DecisionKind.Leaving:
    case DecisionKind.Cancelled:
      return;
  }
}

function dropOldest(waiting: Map<JobId, WaitingJob>): void {
  if (waiting.size <= maximumWaitingJobs) return;
  const [oldest] = waiting.keys();
  if (oldest !== undefined) waiting.delete(oldest);
}
