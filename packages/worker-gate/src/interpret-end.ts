/** Interprets how a run ended at its worker. */
import { RunEndReason, RunOutcome } from '@cranberryturn/types';

import { WorkerEnd } from './ports/worker.js';

/** What an end means to the dispatcher. */
export interface InterpretedEnd {
  readonly outcome: RunOutcome;
  readonly reason: RunEndReason | undefined;
}

/** `stopReason` is why the run was to be stopped, if it was. */
export function interpretEnd(
  end: WorkerEnd,
  stopReason: RunEndReason | undefined,
): InterpretedEnd {
  switch (end) {
    case WorkerEnd.Done:
      return { outcome: RunOutcome.Done, reason: undefined };
    case WorkerEnd.Failed:
      return { outcome: RunOutcome.Failed, reason: RunEndReason.TaskFailed };
    case WorkerEnd.Stopped:
      return {
        outcome: RunOutcome.Interrupted,
        reason: stopReason ?? RunEndReason.Cancelled,
      };
    case WorkerEnd.Expired:
      return {
        outcome: RunOutcome.Interrupted,
        reason: RunEndReason.LeaseExpired,
      };
  }
}
