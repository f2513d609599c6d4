import type { JobRefusal, SharingDispatchers } from '@cranberryturn/admission';
import type {
  AttemptKey,
  AttemptResult,
  AttemptStart,
  ClusterConfiguration,
  JobId,
  JobRequest,
  JsonText,
  LogIndex,
  NotStartedReason,
  OwnershipEpoch,
  TargetId,
  TargetIdentity,
  TargetLoad,
  TargetRecord,
  TargetState,
  TaskId,
} from '@cranberryturn/types';
import { Started } from '@cranberryturn/types';
import type { Result } from 'neverthrow';

/** Sends attempts to targets. */
export interface AttemptSender {
  startAttempt(target: TargetIdentity, attempt: AttemptStart): void;
  cancelAttempts(
    target: TargetIdentity,
    attempts: readonly AttemptKey[],
    reason: string,
  ): void;
  /** Asks a target that other dispatchers fill to report once, as soon as a slot is free. */
  askForLoad?(target: TargetIdentity): void;
}

/** How a task ended for good. */
export enum TaskOutcomeKind {
  Answered = 'answered',
  /** The target was asked and failed. */
  Failed = 'failed',
  /** No target started the task, and none ever will. */
  NotStarted = 'not-started',
  /** A target may have started the task; nothing more will be heard of it. */
  Unknown = 'unknown',
}

/** How a task ended for good. */
export type TaskOutcome =
  | { readonly kind: TaskOutcomeKind.Answered; readonly answer: JsonText }
  | { readonly kind: TaskOutcomeKind.Failed; readonly reason: string }
  | {
      readonly kind: TaskOutcomeKind.NotStarted;
      readonly reason: string;
      readonly cause?: NotStartedReason | undefined;
    }
  | { readonly kind: TaskOutcomeKind.Unknown; readonly reason: string };

/** Hears how each task ended. Called once for each task of a started job. */
export interface TaskObserver {
  taskEnded(jobId: JobId, taskId: TaskId, outcome: TaskOutcome): void;
}

export { type JobRefusal, RefusalKind } from '@cranberryturn/admission';

/** What to do with one task when a job starts. */
export enum TaskPlanKind {
  /** No target has started the task: place it. */
  Place = 'place',
  /** A target runs the task: wait for its result. */
  Await = 'await',
}

/** What to do with one task when a job starts. */
export type TaskPlan =
  | { readonly kind: TaskPlanKind.Place; readonly taskId: TaskId }
  | {
      readonly kind: TaskPlanKind.Await;
      readonly attempt: AttemptKey;
      readonly target: TargetIdentity;
    };

/** What a dispatcher may do with a job that it owns. */
export interface JobOwnership {
  readonly epoch: OwnershipEpoch;
  /** Tasks may start only on runs registered up to this position; undefined means on any run. */
  readonly registeredUpTo: LogIndex | undefined;
}

/** One target as the scheduler sees it. */
export interface TargetStatus {
  readonly targetId: TargetId;
  readonly state: TargetState;
  readonly runningAttempts: number;
  readonly isEjected: boolean;
}

/** The state of a scheduler, for operators and metrics. */
export interface SchedulerStatus {
  readonly queuedTasks: number;
  readonly runningTasks: number;
  readonly targets: readonly TargetStatus[];
}

/**
 * Decides which tasks are admitted, when and where each attempt starts, and
 * whether it is tried again. One instance for each dispatcher.
 */
export interface Scheduler {
  /**
   * Decides at once, before the claim, whether the job is admitted. An admitted
   * job holds its share of quotas and queue until it has ended or is released.
   * `requestId` is written to the decision lines of the job.
   */
  admitJob(job: JobRequest, requestId?: string): Result<void, JobRefusal>;
  /** Gives back an admission whose claim was not granted. */
  releaseAdmission(jobId: JobId): void;
  /**
   * Starts an admitted job. Each task listed is reported to the observer once,
   * also when the deadline passes first. Tasks that are not listed have ended.
   */
  startJob(
    jobId: JobId,
    ownership: JobOwnership,
    tasks: readonly TaskPlan[],
  ): void;
  /**
   * Ends all tasks of a job: those that wait are reported as not started,
   * those that run are stopped through the platform and reported as unknown.
   */
  cancelJob(jobId: JobId, reason: string): void;
  /** A target run is registered at control and connected here. */
  targetRegistered(target: TargetRecord, load: TargetLoad): void;
  targetLoadReported(target: TargetIdentity, load: TargetLoad): void;
  /** The connection is silent: nothing new is placed there, nothing is moved. */
  targetSuspected(target: TargetIdentity): void;
  targetResumed(target: TargetIdentity): void;
  /** The run is gone for good: its running attempts end as unknown. */
  targetLost(target: TargetIdentity): void;
  /** `load` is the report that came with the result. */
  attemptEnded(
    target: TargetIdentity,
    result: AttemptResult,
    load?: TargetLoad,
  ): void;
  /**
   * New limits, and the dispatchers that share them. Their names let them divide
   * small limits exactly, and the version of the roster confirm each other's parts.
   */
  applyConfiguration(
    configuration: ClusterConfiguration,
    sharing: SharingDispatchers,
  ): void;
  status(): SchedulerStatus;
  /** Cancels all timers. */
  stop(): void;
}

/** Whether a task with this fate may have been started. */
export function mayHaveStarted(outcome: TaskOutcome): Started {
  switch (outcome.kind) {
    case TaskOutcomeKind.Answered:
    case TaskOutcomeKind.Failed:
      return Started.Yes;
    case TaskOutcomeKind.NotStarted:
      return Started.No;
    case TaskOutcomeKind.Unknown:
      return Started.Perhaps;
  }
}
