/** Interprets how a run ended at its worker. */
import { RunEndReason, RunOutcome } from '@cranberryturn/types';

import { WorkerRunOutcome } from './ports/worker.js';

/** What an end means to the dispatcher. */
export interface InterpretedEnd {
  readonly outcome: RunOutcome;
  readonly reason: RunEndReason | undefined;
}

/** `stopReason` is why the run was to be stopped, if it was. */
export function interpretEnd(
  end: WorkerRunOutcome,
  stopReason: RunEndReason | undefined,
): InterpretedEnd {
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
