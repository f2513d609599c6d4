/** What the invariant checker is given and what it finds. */
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

/** The kinds of violation. */
export enum ViolationKind {
  /** A task was started more than once. */
  DoubleStart = 'double-start',
  /** A task of a request that is not idempotent was started more than once. */
  NonIdempotentRepeat = 'non-idempotent-repeat',
  /** A target counted a start that no process recorded. */
  UnrecordedStart = 'unrecorded-start',
  /** A reply holds some answers but not exactly those asked for. */
  PartialAnswer = 'partial-answer',
  /** A caller received an answer that belongs to another task. */
  CrossedAnswer = 'crossed-answer',
  /** Something was said to be not started that was started. */
  FalseNotStarted = 'false-not-started',
  /** A leaving target started new work after the bound. */
  StartOnLeavingTarget = 'start-on-leaving-target',
  /** More ran at the same time, or was started in a second, than a limit allows. */
  LimitOverrun = 'limit-overrun',
}

/** One broken invariant. */
export interface Violation {
  readonly kind: ViolationKind;
  /** The job, target, service or team concerned. */
  readonly subject: string;
  readonly detail: string;
}

/** What a limit applies to. */
export enum LimitScope {
  Service = 'service',
  Team = 'team',
}

/** One limit that must hold over all dispatchers. */
export interface CheckedLimit {
  readonly scope: LimitScope;
  readonly name: ServiceName | TeamName;
  readonly concurrency?: number | undefined;
  readonly startsPerSecond?: number | undefined;
  /** Stated slack, as a share of the limit. */
  readonly slack: number;
}

/** An answer as the caller received it. */
export interface ObservedAnswer {
  readonly taskId: TaskId;
  /** Names that the target echoed. */
  readonly echoedJobId: JobId;
  readonly echoedTaskId: TaskId;
}

/** A reply as the caller received it. */
export interface ObservedReply {
  readonly jobId: JobId;
  readonly askedTasks: readonly TaskId[];
  readonly outcome: JobOutcome;
  /** What the reply says about starts; undefined when it says nothing. */
  readonly started?: Started | undefined;
  readonly answers: readonly ObservedAnswer[];
}

/** Bounds and evidence from outside the decision logs. */
export interface CheckOptions {
  /** Whether a task of an idempotent request may be started again after a failure. */
  readonly canRepeatIdempotentTasks: boolean;
  /** Time after which a leaving target must start nothing. */
  readonly leavingBoundMilliseconds: Milliseconds;
  readonly limits: readonly CheckedLimit[];
  /** Starts counted by the targets themselves, when they counted. */
  readonly startCounts?: readonly StartCount[] | undefined;
  /** Replies received by the callers, when they were kept. */
  readonly replies?: readonly ObservedReply[] | undefined;
  /** Jobs submitted more than once: a denial speaks of one submission, another may have started. */
  readonly resubmittedJobs?: ReadonlySet<JobId> | undefined;
}

/** The bounds that the project states. */
export const defaultCheckOptions: CheckOptions = {
  canRepeatIdempotentTasks: true,
  leavingBoundMilliseconds: 2_000,
  limits: [],
};
