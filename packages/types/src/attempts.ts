/** Attempts: single tries of a dispatcher to run a task on a target. */
import type {
  DispatcherId,
  JobId,
  JsonText,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
  TaskId,
} from './identifiers.js';
import type { DeclaredResources } from './jobs.js';

/** Identifies one attempt to run one task. Results are matched by all of these fields. */
export interface AttemptKey {
  readonly jobId: JobId;
  readonly taskId: TaskId;
  /** Number of the attempt, counted from 1. */
  readonly attempt: number;
  readonly epoch: OwnershipEpoch;
}

/** Request to a sidecar to start one attempt. */
export interface AttemptStart extends AttemptKey {
  readonly service: ServiceName;
  readonly dispatcher: DispatcherId;
  readonly payload: JsonText;
  readonly declared?: DeclaredResources | undefined;
  readonly idempotent: boolean;
  /** Time left until the deadline, measured when the frame was sent. */
  readonly remainingMilliseconds: Milliseconds;
  /** Time until the attempt must start for the job to end in time; negative if already too late. */
  readonly slackMilliseconds?: Milliseconds | undefined;
}

/** Reason why a sidecar did not start an attempt and never will. */
export enum NotStartedReason {
  Draining = 'draining',
  Busy = 'busy',
  Fenced = 'fenced',
  AlreadyStarted = 'already-started',
  DeadlinePassed = 'deadline-passed',
  Cancelled = 'cancelled',
  WrongService = 'wrong-service',
  TargetUnreachable = 'target-unreachable',
  /** The platform refused a lease for the task. */
  LeaseRefused = 'lease-refused',
}

/** How an attempt ended at the sidecar. */
export enum AttemptOutcome {
  /** The target answered. */
  Answered = 'answered',
  /**
   * The target received the request and failed, or its answer was lost: the task may have had
   * effects.
   */
  Failed = 'failed',
  /** The sidecar did not start the attempt and never will. */
  NotStarted = 'not-started',
}

/** Result of an attempt that the target answered. */
export interface AnsweredAttempt extends AttemptKey {
  readonly outcome: AttemptOutcome.Answered;
  readonly answer: JsonText;
  /** Time from the request to the target until its answer. */
  readonly runMilliseconds: Milliseconds;
}

/** Result of an attempt whose target failed or whose answer was lost. */
export interface FailedAttempt extends AttemptKey {
  readonly outcome: AttemptOutcome.Failed;
  readonly reason: string;
  readonly runMilliseconds: Milliseconds;
}

/** Result of an attempt that the sidecar did not start and never will. */
export interface NotStartedAttempt extends AttemptKey {
  readonly outcome: AttemptOutcome.NotStarted;
  readonly reason: NotStartedReason;
}

/** Result of one attempt. */
export type AttemptResult = AnsweredAttempt | FailedAttempt | NotStartedAttempt;

/** Treatment by the platform of a running task that was cancelled or overtaken by another attempt. */
export enum CancelledTaskTreatment {
  Stop = 'stop',
  CheckpointAndStop = 'checkpoint-and-stop',
  /** The task keeps running with a small share of a processor. */
  Throttle = 'throttle',
}
