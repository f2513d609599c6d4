/** Dispatches the messages that a sidecar receives from dispatchers. */
import {
  FromTargetKind,
  type ToTargetMessage,
  ToTargetKind,
} from '@cranberryturn/wire';

import type { AttemptLedger } from './attempt-ledger.js';
import type { DispatcherSessions } from './dispatcher-sessions.js';
import type { AttemptRunner } from './run-attempts.js';
import type {
  ServedDispatcher,
  ServedDispatchers,
} from './served-dispatchers.js';

/** Components of a sidecar that messages act on. */
export interface MessageHandlerContext {
  readonly runner: AttemptRunner;
  readonly ledger: AttemptLedger;
  readonly dispatchers: ServedDispatchers;
  /** A function, as the sessions are created after the context. */
  readonly sessions: () => DispatcherSessions;
}

/** Handles one message from a dispatcher. */
export function handleDispatcherMessage(
  { runner, ledger, dispatchers, sessions }: MessageHandlerContext,
  from: ServedDispatcher,
  message: ToTargetMessage,
): void {
  switch (message.kind) {
    case ToTargetKind.StartAttempt:
      runner.acceptAttempt(message.attempt, message.requestId);
      return;
    case ToTargetKind.CancelAttempts:
      runner.cancelAttempts(message.attempts, message.reason);
      return;
    case ToTargetKind.FenceJob: {
      const evidence = ledger.fenceJob(
        message.jobId,
        message.epoch,
        from.dispatcherId,
      );
      from.send({ kind: FromTargetKind.JobEvidence, evidence });
      return;
    }
    case ToTargetKind.ApplySettings:
      if (message.slots !== undefined) runner.changeSlots(message.slots);
      runner.changeDraining(message.draining);
      dispatchers.confirmSettings(from, message.version);
      return;
    case ToTargetKind.AcknowledgeLeft:
      return;
    case ToTargetKind.AskForLoad:
      from.isAwaitingLoad = true;
      dispatchers.reportFreeSlot();
      return;
    case ToTargetKind.ApplySessions:
      sessions().applyPlan(message);
      return;
    case ToTargetKind.OpenSession:
      sessions().openOnDemand(message.dispatcher);
      return;
  }
}
