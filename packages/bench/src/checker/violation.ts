/** Input and findings of the invariant checker. */
import type {
  JobId,
  JobOutcome,
  Milliseconds,
  ServiceName,
  Started,
  TaskId,
  TeamName,
} from '@cranberryturn/types';

import type { StartCount } from '@cranberryturn/stand-ins';

export enum ViolationKind {
  /** A task was started more than once. */
  DoubleStart = 'double-start',
  /** A task of a request that is not idempotent was started more than once. */
  NonIdempotentRepeat = 'non-idempotent-repeat',
  /** A target counted a start that no process recorded. */
  UnrecordedStart = 'unrecorded-start',
  /** A complete reply lacks answers, or a failed reply contains some. */
  PartialAnswer = 'partial-answer',
  /** A caller received an answer that belongs to another task. */
  CrossedAnswer = 'crossed-answer',
  /** A reply or a log says that a job or attempt was not started, but it was. */
  FalseNotStarted = 'false-not-started',
  /** A leaving target started a task after `leavingBoundMilliseconds`. */
  StartOnLeavingTarget = 'start-on-leaving-target',
  /** Concurrency or starts per second exceeded a limit. */
  LimitOverrun = 'limit-overrun',
}

/** One violated invariant. */
export interface Violation {
  readonly kind: ViolationKind;
  /** The job, target, service or team that the violation concerns. */
  readonly subject: string;
  readonly detail: string;
}

/** What a limit applies to. */
export enum LimitScope {
  Service = 'service',
  Team = 'team',
}

/** A limit that must hold across all dispatchers. */
export interface CheckedLimit {
  readonly scope: LimitScope;
  readonly name: ServiceName | TeamName;
  readonly concurrency?: number | undefined;
  readonly startsPerSecond?: number | undefined;
  /** Permitted excess, as a fraction of the limit. */
  readonly slack: number;
}

/** An answer as the caller received it. */
export interface ObservedAnswer {
  readonly taskId: TaskId;
  /** Identifiers that the target echoed. */
  readonly echoedJobId: JobId;
  readonly echoedTaskId: TaskId;
}

/** A reply as the caller received it. */
export interface ObservedReply {
  readonly jobId: JobId;
  readonly askedTasks: readonly TaskId[];
  readonly outcome: JobOutcome;
  /** Whether the reply says that the job was started; undefined when it says nothing. */
  readonly started?: Started | undefined;
  readonly answers: readonly ObservedAnswer[];
}

/** Bounds to check, and observations from outside the decision logs. */
export interface CheckOptions {
  /** Whether a task of an idempotent request may be started again after a failure. */
  readonly canRepeatIdempotentTasks: boolean;
  /** Time after the announcement from which a leaving target must start no task. */
  readonly leavingBoundMilliseconds: Milliseconds;
  readonly limits: readonly CheckedLimit[];
  /** Starts counted by the targets, if counted. */
  readonly startCounts?: readonly StartCount[] | undefined;
  /** Replies received by the callers, if kept. */
  readonly replies?: readonly ObservedReply[] | undefined;
  /** Jobs submitted more than once: a not-started reply covers one submission only, another may have started. */
  readonly resubmittedJobs?: ReadonlySet<JobId> | undefined;
}

/** The bounds that the system guarantees. */
export const defaultCheckOptions: CheckOptions = {
  canRepeatIdempotentTasks: true,
  leavingBoundMilliseconds: 2_000,
  limits: [],
};
