/** Translates the outcome that a worker reports into the outcome for the dispatcher. */
import { RunEndReason, RunOutcome } from '@cranberryturn/types';

import { WorkerRunOutcome } from './ports/worker.js';

/** Outcome and reason as reported to the dispatcher. */
export interface InterpretedOutcome {
  readonly outcome: RunOutcome;
  readonly reason: RunEndReason | undefined;
}

/** Translates an outcome. `stopReason` is set when the run was asked to stop; a run stopped without a reason counts as cancelled. */
export function interpretOutcome(
  end: WorkerRunOutcome,
  stopReason: RunEndReason | undefined,
): InterpretedOutcome {
  switch (end) {
    case WorkerRunOutcome.Done:
      return { outcome: RunOutcome.Done, reason: undefined };
    case WorkerRunOutcome.Failed:
      return { outcome: RunOutcome.Failed, reason: RunEndReason.TaskFailed };
    case WorkerRunOutcome.Stopped:
      return {
        outcome: RunOutcome.Interrupted,
        reason: stopReason ?? RunEndReason.Cancelled,
      };
    case WorkerRunOutcome.Expired:
      return {
        outcome: RunOutcome.Interrupted,
        reason: RunEndReason.LeaseExpired,
      };
  }
}
