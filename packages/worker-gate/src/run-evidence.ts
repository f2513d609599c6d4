/** What shows that a run has ended. A run without evidence stays active, whatever else is heard of its worker. */
import { RunEndReason, RunOutcome } from '@cranberryturn/types';

import type { ActiveRun } from './active-run.js';
import {
  type InterpretedOutcome,
  interpretOutcome,
} from './interpret-outcome.js';
import type { WorkerRunOutcome } from './ports/worker.js';

/** Kinds of evidence (docs/decisions/ended-runs.md). */
export enum EvidenceKind {
  /** No order for the run was sent, or the worker has refused each of them. */
  NotStarted = 'not-started',
  /** The worker lists the end. */
  Listed = 'listed',
  /** The worker had confirmed the run, and does not list it any more. */
  Unlisted = 'unlisted',
  /** The worker has accepted a stop, upon which no order starts the run, and does not list it. */
  Stopped = 'stopped',
  /** The deadline of all its start orders has passed on the clock of the worker, which does not list it. */
  OrderExpired = 'order-expired',
  /** The lease of the worker is over by its own clock. */
  LeaseOver = 'lease-over',
  /** A later incarnation of the worker answers, does not list the run, and refuses earlier orders. */
  LaterIncarnation = 'later-incarnation',
  /** The deadline of the caller has passed, and the run is not renewed. Its task is not started again. */
  DeadlinePassed = 'deadline-passed',
}

/** Evidence that one run has ended. */
export type EndEvidence =
  | { readonly kind: EvidenceKind.NotStarted; readonly reason: RunEndReason }
  | { readonly kind: EvidenceKind.Listed; readonly end: WorkerRunOutcome }
  | {
      readonly kind:
        | EvidenceKind.Unlisted
        | EvidenceKind.Stopped
        | EvidenceKind.OrderExpired
        | EvidenceKind.LeaseOver
        | EvidenceKind.LaterIncarnation
        | EvidenceKind.DeadlinePassed;
    };

/** Translates the evidence into the outcome that the dispatcher is told. */
export function interpretEvidence(
  { stopReason }: Pick<ActiveRun, 'stopReason'>,
  evidence: EndEvidence,
): InterpretedOutcome {
  switch (evidence.kind) {
    case EvidenceKind.NotStarted:
      return { outcome: RunOutcome.NotStarted, reason: evidence.reason };
    case EvidenceKind.Listed:
      return interpretOutcome(evidence.end, stopReason);
    case EvidenceKind.Stopped:
    case EvidenceKind.OrderExpired:
      return {
        outcome: RunOutcome.NotStarted,
        reason: stopReason ?? RunEndReason.WorkerSilent,
      };
    case EvidenceKind.LeaseOver:
      return {
        outcome: RunOutcome.Interrupted,
        reason: RunEndReason.WorkerSilent,
      };
    case EvidenceKind.Unlisted:
    case EvidenceKind.LaterIncarnation:
      return {
        outcome: RunOutcome.Interrupted,
        reason: RunEndReason.WorkerGone,
      };
    case EvidenceKind.DeadlinePassed:
      return {
        outcome: RunOutcome.Interrupted,
        reason: RunEndReason.DeadlinePassed,
      };
  }
}
