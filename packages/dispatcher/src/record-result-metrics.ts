/** Counts how attempts ended, and how long they ran. */
import {
  Counter,
  Distribution,
  type Metrics,
  WastedMessage,
} from '@cranberryturn/metrics';
import { AttemptOutcome, type AttemptResult } from '@cranberryturn/types';

/** Takes in one result. */
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
