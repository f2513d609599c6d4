/** Records of the work in progress of one scheduler. */
import {
  createListNode,
  type FairQueue,
  type HeapNode,
  type TaskLimiter,
  type LinkedList,
  type ListNode,
  type QueuedJob,
} from '@cranberryturn/admission';
import type {
  HealthTracker,
  RunTimeModel,
  TargetEntry,
  TargetIndex,
  UsageModel,
} from '@cranberryturn/placement';
import type { RetryBudget } from '@cranberryturn/retries';
import type { TimerSubscription } from '@cranberryturn/timers';
import type {
  AttemptKey,
  DeclaredResources,
  JobRequest,
  Milliseconds,
  OwnershipEpoch,
  RackName,
  ServiceConfiguration,
  ServiceName,
  TaskId,
  TaskRequest,
  TeamName,
} from '@cranberryturn/types';

import type { JobOwnership } from './ports/scheduler.js';

/** Where a task stands. */
export enum TaskPhase {
  /** It waits for a target. */
  Waiting = 'waiting',
  /** At least one attempt has not ended. */
  Running = 'running',
  /** It waits for the time of its next attempt. */
  BackingOff = 'backing-off',
  Ended = 'ended',
}

/** One attempt that has not ended at its target. */
export interface ActiveAttempt {
  readonly task: ActiveTask;
  readonly number: number;
  readonly epoch: OwnershipEpoch;
  readonly target: TargetEntry;
  readonly startedAt: Milliseconds;
  readonly isHedge: boolean;
  /** What it was expected to use when it was placed. */
  readonly reservedResources: DeclaredResources | undefined;
  /** Whether it was reported as a straggler. */
  isStraggler: boolean;
  /** Its place among the running attempts of the service, oldest first. */
  node: ListNode<ActiveAttempt> | undefined;
}

/** One task of an admitted job. */
export interface ActiveTask {
  readonly job: ActiveJob;
  readonly request: TaskRequest;
  /** Expected run time at admission. */
  readonly expectedRunMilliseconds: Milliseconds;
  phase: TaskPhase;
  /** Attempts that have not ended: at most two. */
  attempts: ActiveAttempt[];
  /** Number of the newest attempt. */
  lastAttemptNumber: number;
  /** Attempts that may have been started. */
  startedAttempts: number;
  /** Refusals in a row. */
  consecutiveRefusals: number;
  /** Targets where an attempt may have been started. */
  excludedTargets: readonly TargetEntry[];
  backoffTimer: TimerSubscription | undefined;
}

/** One admitted job. */
export interface ActiveJob extends QueuedJob {
  readonly request: JobRequest;
  readonly requestId: string | undefined;
  readonly deadlineAt: Milliseconds;
  /** When it should have ended; sooner than the deadline. */
  readonly dueAt: Milliseconds;
  latestStart: Milliseconds;
  readonly pool: ServicePool;
  readonly teamLimiter: TaskLimiter;
  /** Whether its only task may run more than once. */
  readonly isRepeatable: boolean;
  readonly openTasks: Map<TaskId, ActiveTask>;
  /** Tasks that wait, the next one last. */
  waiting: ActiveTask[];
  /** Tasks of the job placed so far in each rack. */
  readonly tasksPerRack: Map<RackName, number> | undefined;
  /** Its place in the queue; created with the job. */
  node: HeapNode<ActiveJob> | undefined;
  /** Undefined until the job is started. */
  ownership: JobOwnership | undefined;
  /** Whether a task was placed. */
  hasPlacedTask: boolean;
  hasFailed: boolean;
  deadlineTimer: TimerSubscription | undefined;
}

/** Tasks of one team that wait in one service. */
export interface TeamBacklog {
  tasks: number;
  workMilliseconds: Milliseconds;
}

/** Everything that concerns one service. */
export interface ServicePool {
  readonly service: ServiceName;
  readonly index: TargetIndex;
  readonly health: HealthTracker;
  readonly runTimes: RunTimeModel;
  readonly usage: UsageModel;
  readonly queue: FairQueue<ActiveJob>;
  readonly limiter: TaskLimiter;
  readonly retryBudget: RetryBudget;
  readonly running: LinkedList<ActiveAttempt>;
  readonly teamBacklogs: Map<TeamName, TeamBacklog>;
  /** Targets that refused work lately. */
  readonly backedOffTargets: Set<TargetEntry>;
  configuration: ServiceConfiguration;
  /** Tasks that run at the same time while no slot is free, averaged over about a second. */
  saturatedParallelism: number | undefined;
  queuedTasks: number;
  queuedWorkMilliseconds: Milliseconds;
  /** When targets were last asked for their load. */
  loadRequestedAt: Milliseconds;
}

/** Response time aimed at, as a multiple of the expected run time of the longest task of a job. */
const desiredResponseRatio = 1.5;

/** Creates the record of a job at its admission. */
export function createActiveJob(
  request: JobRequest,
  requestId: string | undefined,
  pool: ServicePool,
  teamLimiter: TaskLimiter,
  now: Milliseconds,
): ActiveJob {
  const estimates = request.tasks.map(task =>
    pool.runTimes.estimate(task.declared?.runMilliseconds),
  );
  const deadlineAt = now + request.deadlineMilliseconds;
  const longestMilliseconds = Math.max(0, ...estimates);
  const job: ActiveJob = {
    request,
    requestId,
    team: request.team,
    costMilliseconds: estimates.reduce((sum, estimate) => sum + estimate, 0),
    deadlineAt,
    dueAt: Math.min(
      deadlineAt,
      now + longestMilliseconds * desiredResponseRatio,
    ),
    latestStart: now,
    pool,
    teamLimiter,
    isRepeatable: request.idempotent && request.tasks.length === 1,
    openTasks: new Map(),
    waiting: [],
    tasksPerRack:
      request.tasks.length > 1 ? new Map<RackName, number>() : undefined,
    node: undefined,
    ownership: undefined,
    hasPlacedTask: false,
    hasFailed: false,
    deadlineTimer: undefined,
  };
  request.tasks.forEach((task, position) => {
    const active = createActiveTask(job, task, estimates[position] ?? 0);
    job.openTasks.set(task.taskId, active);
  });
  return job;
}

function createActiveTask(
  job: ActiveJob,
  request: TaskRequest,
  expectedRunMilliseconds: Milliseconds,
): ActiveTask {
  return {
    job,
    request,
    expectedRunMilliseconds,
    phase: TaskPhase.Waiting,
    attempts: [],
    lastAttemptNumber: 0,
    startedAttempts: 0,
    consecutiveRefusals: 0,
    excludedTargets: [],
    backoffTimer: undefined,
  };
}

/** The attempt's place among the running attempts. */
export function findRunningNode(
  attempt: ActiveAttempt,
): ListNode<ActiveAttempt> {
  attempt.node ??= createListNode(attempt);
  return attempt.node;
}

/** Adds a task to what waits in the service, or takes it away with `sign` -1. */
export function countWaitingTask(task: ActiveTask, sign: 1 | -1): void {
  const { pool, team } = task.job;
  const workMilliseconds = sign * task.expectedRunMilliseconds;
  pool.queuedTasks += sign;
  pool.queuedWorkMilliseconds = Math.max(
    0,
    pool.queuedWorkMilliseconds + workMilliseconds,
  );
  const backlog = findTeamBacklog(pool, team);
  backlog.tasks += sign;
  backlog.workMilliseconds = Math.max(
    0,
    backlog.workMilliseconds + workMilliseconds,
  );
}

/** What waits of one team. */
export function findTeamBacklog(
  pool: ServicePool,
  team: TeamName,
): TeamBacklog {
  const known = pool.teamBacklogs.get(team);
  if (known !== undefined) return known;
  const created: TeamBacklog = { tasks: 0, workMilliseconds: 0 };
  pool.teamBacklogs.set(team, created);
  return created;
}

/** The key of an attempt as it was sent. */
export function createAttemptKey(attempt: ActiveAttempt): AttemptKey {
  return {
    jobId: attempt.task.job.request.jobId,
    taskId: attempt.task.request.taskId,
    attempt: attempt.number,
    epoch: attempt.epoch,
  };
}
