/** Records of the attempts, tasks, jobs and services of one scheduler. */
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

/** State of a task. */
export enum TaskPhase {
  /** The task waits for a target. */
  Waiting = 'waiting',
  /** At least one attempt has not ended. */
  Running = 'running',
  /** The task waits for the backoff before its next attempt. */
  BackingOff = 'backing-off',
  Ended = 'ended',
}

/** One attempt whose target has not reported its end. */
export interface ActiveAttempt {
  readonly task: ActiveTask;
  readonly number: number;
  readonly epoch: OwnershipEpoch;
  readonly target: TargetEntry;
  readonly startedAt: Milliseconds;
  readonly isHedge: boolean;
  /** Expected usage at placement, reserved on the target; undefined when nothing is known. */
  readonly reservedResources: DeclaredResources | undefined;
  /** Whether the attempt was reported as a straggler. */
  isStraggler: boolean;
  /** Node in the running attempts of the service, oldest first. */
  node: ListNode<ActiveAttempt> | undefined;
}

/** One task of an admitted job. */
export interface ActiveTask {
  readonly job: ActiveJob;
  readonly request: TaskRequest;
  /** Expected run time at admission. */
  readonly expectedRunMilliseconds: Milliseconds;
  phase: TaskPhase;
  /** Attempts that have not ended: at most two, of which one is a hedge. */
  attempts: ActiveAttempt[];
  /** Number of the newest attempt; 0 before the first. */
  lastAttemptNumber: number;
  /** Attempts that may have been started. */
  startedAttempts: number;
  /** Refused attempts so far. */
  refusalCount: number;
  /** Targets where an attempt may have been started. */
  excludedTargets: readonly TargetEntry[];
  backoffTimer: TimerSubscription | undefined;
}

/** One admitted job. */
export interface ActiveJob extends QueuedJob {
  readonly request: JobRequest;
  readonly requestId: string | undefined;
  readonly deadlineAt: Milliseconds;
  /** Time by which the job should end; at or before the deadline. */
  readonly dueAt: Milliseconds;
  latestStart: Milliseconds;
  readonly pool: ServicePool;
  readonly teamLimiter: TaskLimiter;
  /** Whether the job has a single task, which may run more than once. */
  readonly isRepeatable: boolean;
  readonly openTasks: Map<TaskId, ActiveTask>;
  /** Waiting tasks; the last element is placed next. */
  waiting: ActiveTask[];
  /** Tasks of the job placed so far in each rack; undefined for a job of one task. */
  readonly tasksPerRack: Map<RackName, number> | undefined;
  /** Node in the queue of the service; created when the job is first queued. */
  node: HeapNode<ActiveJob> | undefined;
  /** Undefined until the claim is granted and the job is started. */
  ownership: JobOwnership | undefined;
  /** Whether any task was placed, by this dispatcher or an earlier owner. */
  hasPlacedTask: boolean;
  hasFailed: boolean;
  deadlineTimer: TimerSubscription | undefined;
}

/** Waiting tasks of one team in one service. */
export interface TeamBacklog {
  tasks: number;
  /** Expected run time of the waiting tasks. */
  workMilliseconds: Milliseconds;
}

/** Targets, queue, limits and models of one service. */
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
  /** Targets that refused a task and get no attempt until their backoff has ended. */
  readonly backedOffTargets: Set<TargetEntry>;
  configuration: ServiceConfiguration;
  /** Running tasks while tasks wait and no slot is free, averaged over about a second; else undefined. */
  saturatedParallelism: number | undefined;
  /** Tasks admitted or waiting, not yet placed. */
  queuedTasks: number;
  /** Expected run time of the queued tasks. */
  queuedWorkMilliseconds: Milliseconds;
  /** Time of the last round of load requests. */
  loadRequestedAt: Milliseconds;
}

/** Desired response time as a multiple of the expected run time of the longest task of a job. */
const desiredResponseRatio = 1.5;

/** Creates the record of a job at its admission; its tasks are not yet counted as waiting. */
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
    refusalCount: 0,
    excludedTargets: [],
    backoffTimer: undefined,
  };
}

/** Returns the node of an attempt in the running attempts, and creates it at the first use. */
export function findRunningNode(
  attempt: ActiveAttempt,
): ListNode<ActiveAttempt> {
  attempt.node ??= createListNode(attempt);
  return attempt.node;
}

/** Adds a task to the waiting tasks of its service and team, or removes it when `sign` is -1. */
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

/** Returns the backlog of a team, and creates it at the first use. */
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

/** Creates the key under which an attempt was sent. */
export function createAttemptKey(attempt: ActiveAttempt): AttemptKey {
  return {
    jobId: attempt.task.job.request.jobId,
    taskId: attempt.task.request.taskId,
    attempt: attempt.number,
    epoch: attempt.epoch,
  };
}
