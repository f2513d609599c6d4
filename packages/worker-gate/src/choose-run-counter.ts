/** The counter of a run's outcome. */
import { Counter } from '@cranberryturn/metrics';
import { RunOutcome } from '@cranberryturn/types';

/** Returns the counter to raise at the end of a run. */
export function chooseRunCounter(outcome: RunOutcome): Counter {
  switch (outcome) {
    case RunOutcome.Done:
      return Counter.TasksAnswered;
    case RunOutcome.Failed:
    case RunOutcome.Interrupted:
      return Counter.TasksFailed;
    case RunOutcome.NotStarted:
      return Counter.TasksNotStarted;
  }
}
