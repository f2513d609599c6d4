/** Records the outcomes and run times of attempts in the metrics. */
import {
  Counter,
  Distribution,
  type Metrics,
  WastedMessage,
} from '@cranberryturn/metrics';
import { AttemptOutcome, type AttemptResult } from '@cranberryturn/types';

/** Counts one attempt result by outcome, and records the run time of a started attempt. */
export function recordResultMetrics(
  metrics: Metrics,
  result: AttemptResult,
): void {
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      metrics.count(Counter.TasksAnswered);
      break;
    case AttemptOutcome.Failed:
      metrics.count(Counter.TasksFailed);
      break;
    case AttemptOutcome.NotStarted:
      metrics.count(Counter.TasksNotStarted);
      metrics.countWasted(WastedMessage.RefusedStart);
      return;
  }
  metrics.record(Distribution.RunMilliseconds, result.runMilliseconds);
}
