/** The interface between a dispatcher and its scheduler. */
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
  /** Asks a target without a free slot to report its load once, as soon as a slot is free. */
  askForLoad?(target: TargetIdentity): void;
}

/** How a task ended. */
export enum TaskOutcomeKind {
  Answered = 'answered',
  /** A target started the task and reported a failure. */
  Failed = 'failed',
  /** No target started the task, and none will. */
  NotStarted = 'not-started',
  /** A target may have started the task, and no result will arrive. */
  Unknown = 'unknown',
}

/** How a task ended, with its answer or the reason. */
export type TaskOutcome =
  | { readonly kind: TaskOutcomeKind.Answered; readonly answer: JsonText }
  | { readonly kind: TaskOutcomeKind.Failed; readonly reason: string }
  | {
      readonly kind: TaskOutcomeKind.NotStarted;
      readonly reason: string;
      readonly cause?: NotStartedReason | undefined;
    }
  | { readonly kind: TaskOutcomeKind.Unknown; readonly reason: string };

/** Receives the outcome of each task of a started job, exactly once. */
export interface TaskObserver {
  taskEnded(jobId: JobId, taskId: TaskId, outcome: TaskOutcome): void;
}

export { type JobRefusal, RefusalKind } from '@cranberryturn/admission';

/** How a task of a starting job is treated. */
export enum TaskPlanKind {
  /** No target has started the task: place it. */
  Place = 'place',
  /** A target runs the task: wait for its result. */
  Await = 'await',
}

/** How one task of a starting job is treated. */
export type TaskPlan =
  | { readonly kind: TaskPlanKind.Place; readonly taskId: TaskId }
  | {
      readonly kind: TaskPlanKind.Await;
      readonly attempt: AttemptKey;
      readonly target: TargetIdentity;
    };

/** Ownership of a job by this dispatcher. */
export interface JobOwnership {
  /** Fencing token sent with each attempt. */
  readonly epoch: OwnershipEpoch;
  /** Log index up to which target runs must be registered to get tasks; undefined means any run. */
  readonly registeredUpTo: LogIndex | undefined;
}

/** State of one target in this scheduler. */
export interface TargetStatus {
  readonly targetId: TargetId;
  readonly state: TargetState;
  /** Attempts of this dispatcher that have not ended. */
  readonly runningAttempts: number;
  readonly isEjected: boolean;
}

/** State of a scheduler, for metrics. */
export interface SchedulerStatus {
  readonly queuedTasks: number;
  readonly runningTasks: number;
  readonly targets: readonly TargetStatus[];
}

/**
 * Decides which jobs are admitted, when and where each attempt starts, and
 * whether a task is retried. Each dispatcher has one instance.
 */
export interface Scheduler {
  /**
   * Admits or refuses a job before its claim. An admitted job counts against
   * quotas and the queue until the job ends or the admission is released.
   * `requestId` is written to the decision lines of the job.
   */
  admitJob(job: JobRequest, requestId?: string): Result<void, JobRefusal>;
  /** Releases an admission whose claim was not granted. */
  releaseAdmission(jobId: JobId): void;
  /**
   * Starts an admitted job. Each listed task is reported to the observer once,
   * also when the deadline passes first. Tasks that are not listed have ended.
   */
  startJob(
    jobId: JobId,
    ownership: JobOwnership,
    tasks: readonly TaskPlan[],
  ): void;
  /**
   * Ends all tasks of a job: waiting tasks are reported as not started,
   * running tasks are stopped through the platform and reported as unknown.
   */
  cancelJob(jobId: JobId, reason: string): void;
  /** A target run is registered with control and connected to this dispatcher. */
  targetRegistered(target: TargetRecord, load: TargetLoad): void;
  targetLoadReported(target: TargetIdentity, load: TargetLoad): void;
  /** The connection is silent: the target gets no new attempts, and its running attempts stay. */
  targetSuspected(target: TargetIdentity): void;
  /** The connection of a suspected target answers again. */
  targetResumed(target: TargetIdentity): void;
  /** The run will not return: its running attempts end as unknown. */
  targetLost(target: TargetIdentity): void;
  /** A target reported the result of an attempt; `load` is the report that came with the result. */
  attemptEnded(
    target: TargetIdentity,
    result: AttemptResult,
    load?: TargetLoad,
  ): void;
  /**
   * Applies new limits, and the dispatchers that share them. Small limits are divided
   * exactly by the names, and peers confirm allocations by the version of the roster.
   */
  applyConfiguration(
    configuration: ClusterConfiguration,
    sharing: SharingDispatchers,
  ): void;
  status(): SchedulerStatus;
  /** Cancels all timers. */
  stop(): void;
}

/** Returns whether a task with this outcome was, was not or may have been started. */
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
