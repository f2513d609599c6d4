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

/** Names one attempt to run one task. Answers are matched by all of its fields. */
export interface AttemptKey {
  readonly jobId: JobId;
  readonly taskId: TaskId;
  /** Number of the attempt. Starts at 1. */
  readonly attempt: number;
  readonly epoch: OwnershipEpoch;
}

/** What a sidecar needs to start one attempt. */
export interface AttemptStart extends AttemptKey {
  readonly service: ServiceName;
  readonly dispatcher: DispatcherId;
  readonly payload: JsonText;
  readonly declared?: DeclaredResources | undefined;
  readonly idempotent: boolean;
  /** Time left until the deadline when the frame was sent. */
  readonly remainingMilliseconds: Milliseconds;
  /** Time until the attempt should start for its job to end in time; less than 0 when it is late. */
  readonly slackMilliseconds?: Milliseconds | undefined;
}

/** Why a sidecar did not start an attempt, and never will. */
export enum NotStartedReason {
  Draining = 'draining',
  Busy = 'busy',
  Fenced = 'fenced',
  AlreadyStarted = 'already-started',
  DeadlinePassed = 'deadline-passed',
  Cancelled = 'cancelled',
  WrongService = 'wrong-service',
  TargetUnreachable = 'target-unreachable',
  /** The platform gave no lease for the task. */
  LeaseRefused = 'lease-refused',
}

/** How an attempt ended at the sidecar. */
export enum AttemptOutcome {
  /** The target answered. */
  Answered = 'answered',
  /** The target was asked and failed, or its answer was lost: the task may have had effects. */
  Failed = 'failed',
  /** The attempt was not started here, and never will be. */
  NotStarted = 'not-started',
}

/** The target answered the attempt. */
export interface AnsweredAttempt extends AttemptKey {
  readonly outcome: AttemptOutcome.Answered;
  readonly answer: JsonText;
  /** Time the target took. */
  readonly runMilliseconds: Milliseconds;
}

/** The target was asked and failed. */
export interface FailedAttempt extends AttemptKey {
  readonly outcome: AttemptOutcome.Failed;
  readonly reason: string;
  readonly runMilliseconds: Milliseconds;
}

/** The attempt was not started here, and never will be. */
export interface NotStartedAttempt extends AttemptKey {
  readonly outcome: AttemptOutcome.NotStarted;
  readonly reason: NotStartedReason;
}

/** How one attempt ended. */
export type AttemptResult = AnsweredAttempt | FailedAttempt | NotStartedAttempt;

/** What the platform does with a running task that was cancelled or overtaken. */
export enum CancelledTaskTreatment {
  Stop = 'stop',
  CheckpointAndStop = 'checkpoint-and-stop',
  /** The task runs on with a small part of a processor. */
  Throttle = 'throttle',
}
