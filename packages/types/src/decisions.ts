/** Decision log: one JSON line for each routing or placement decision, which checkers read. */
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

/** Kinds of line in a decision log. */
export enum DecisionKind {
  /** A job or request was admitted. */
  Admitted = 'admitted',
  /** A job or request was refused before any of its tasks was started. */
  Refused = 'refused',
  /** A job was claimed or adopted. */
  Claimed = 'claimed',
  /** A task was placed on a target. */
  Placed = 'placed',
  /** A sidecar asked its target to run an attempt. */
  Started = 'started',
  /** An attempt ended. */
  Ended = 'ended',
  /** The result of a job was returned to its caller. */
  Replied = 'replied',
  /** A target began to leave; later starts on this target are violations. */
  Leaving = 'leaving',
  /** A target was ejected, probed or readmitted. */
  Health = 'health',
  /** A task was cancelled. */
  Cancelled = 'cancelled',
  /** A task will be retried. */
  Retried = 'retried',
}

/** Fields of every decision line. */
export interface DecisionHeader {
  /** Wall-clock time of the decision, in milliseconds since 1970. */
  readonly at: Milliseconds;
  /** Process that made the decision. */
  readonly process: string;
  /** Identifier of the caller's request, carried through all roles. */
  readonly requestId?: string | undefined;
}

/** A decision; the fields depend on its kind. */
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
      /** Number of targets that were compared. */
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
      /** Tasks answered, in the order of the reply; empty if the job failed. */
      readonly answered: readonly TaskId[];
      /** Number of tasks in the job. */
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

/** Records decisions; the logger package provides one that writes JSON lines. */
export type DecisionSink = (decision: Decision, requestId?: string) => void;
