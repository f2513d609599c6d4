import type { AttemptOutcome, NotStartedReason } from './attempts.js';
import type {
  DispatcherId,
  Incarnation,
  JobId,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
  TargetId,
  TaskId,
  TeamName,
} from './identifiers.js';
import type { JobOutcome, Started } from './jobs.js';

/** The kinds of line in a decision log. */
export enum DecisionKind {
  /** A job or request was admitted. */
  Admitted = 'admitted',
  /** A job or request was refused before anything was started. */
  Refused = 'refused',
  /** A job was claimed or adopted. */
  Claimed = 'claimed',
  /** A task was placed on a target. */
  Placed = 'placed',
  /** A sidecar asked its target to run an attempt. */
  Started = 'started',
  /** An attempt ended. */
  Ended = 'ended',
  /** A job was answered to its caller. */
  Replied = 'replied',
  /** A target began to leave; later starts there are violations. */
  Leaving = 'leaving',
  /** A target was ejected, probed or readmitted. */
  Health = 'health',
  /** A task was cancelled. */
  Cancelled = 'cancelled',
  /** A task will be tried again. */
  Retried = 'retried',
}

/** Fields of every decision line. `at` is wall-clock time in milliseconds. */
export interface DecisionHeader {
  readonly at: Milliseconds;
  /** Process that decided. */
  readonly process: string;
  /** Identifier of the caller's request, carried through all roles. */
  readonly requestId?: string | undefined;
}

/** One line for each routing or placement decision. */
export type Decision =
  | {
      readonly kind: DecisionKind.Admitted;
      readonly jobId: JobId;
      readonly service: ServiceName;
      readonly team: TeamName;
      readonly tasks: number;
      readonly idempotent: boolean;
    }
  | {
      readonly kind: DecisionKind.Refused;
      readonly jobId: JobId;
      readonly service: ServiceName;
      readonly team: TeamName;
      readonly reason: string;
    }
  | {
      readonly kind: DecisionKind.Claimed;
      readonly jobId: JobId;
      readonly owner: DispatcherId;
      readonly epoch: OwnershipEpoch;
    }
  | {
      readonly kind: DecisionKind.Placed;
      readonly jobId: JobId;
      readonly taskId: TaskId;
      readonly attempt: number;
      readonly epoch: OwnershipEpoch;
      readonly target: TargetId;
      readonly reason: string;
      /** Number of candidates weighed. */
      readonly candidates: number;
    }
  | {
      readonly kind: DecisionKind.Started;
      readonly jobId: JobId;
      readonly taskId: TaskId;
      readonly attempt: number;
      readonly epoch: OwnershipEpoch;
      readonly target: TargetId;
      readonly incarnation: Incarnation;
      readonly idempotent: boolean;
    }
  | {
      readonly kind: DecisionKind.Ended;
      readonly jobId: JobId;
      readonly taskId: TaskId;
      readonly attempt: number;
      readonly epoch: OwnershipEpoch;
      readonly target: TargetId;
      readonly outcome: AttemptOutcome;
      readonly reason?: string | NotStartedReason | undefined;
    }
  | {
      readonly kind: DecisionKind.Replied;
      readonly jobId: JobId;
      readonly outcome: JobOutcome;
      readonly started: Started;
      /** Tasks answered, in the order of the reply; empty when failed. */
      readonly answered: readonly TaskId[];
      readonly asked: number;
    }
  | {
      readonly kind: DecisionKind.Leaving;
      readonly target: TargetId;
      readonly incarnation: Incarnation;
    }
  | {
      readonly kind: DecisionKind.Health;
      readonly target: TargetId;
      readonly action: string;
      readonly reason: string;
    }
  | {
      readonly kind: DecisionKind.Cancelled;
      readonly jobId: JobId;
      readonly taskId: TaskId;
      readonly reason: string;
    }
  | {
      readonly kind: DecisionKind.Retried;
      readonly jobId: JobId;
      readonly taskId: TaskId;
      readonly attempt: number;
      readonly reason: string;
      readonly afterMilliseconds: Milliseconds;
    };

/** A decision with its header, as written to the decision log. */
export type DecisionRecord = DecisionHeader & Decision;

/** Receives decisions; the logger package writes them as JSON lines. */
export type DecisionSink = (decision: Decision, requestId?: string) => void;
