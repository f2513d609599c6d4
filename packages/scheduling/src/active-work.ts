/** Records of the work in progress of one scheduler. */
import {
  createListNode,
  type FairQueue,
  type HeapNode,
  type LimitGate,
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
  readonly hedge: boolean;
  /** What it was expected to use when it was placed. */
  readonly reserved: DeclaredResources | undefined;
  /** Whether it was reported as a straggler. */
  straggling: boolean;
  /** Its place among the running attempts of the service, oldest first. */
  node: ListNode<ActiveAttempt> | undefined;
}

/** One task of an admitted job. */
export interface ActiveTask {
  readonly job: ActiveJob;
  readonly request: TaskRequest;
  /** Expected run time at admission. */
  readonly estimate: Milliseconds;
  phase: TaskPhase;
  /** Attempts that have not ended: at most two. */
  attempts: ActiveAttempt[];
  /** Number of the newest attempt. */
  lastAttempt: number;
  /** Attempts that may have been started. */
  startedAttempts: number;
  /** Refusals in a row. */
  refusals: number;
  /** Targets where an attempt may have been started. */
  excluded: readonly TargetEntry[];
  backoff: TimerSubscription | undefined;
}

/** One admitted job. */
export interface ActiveJob extends QueuedJob {
  readonly request: JobRequest;
  readonly requestId: string | undefined;
  readonly deadline: Milliseconds;
  /** When it should have ended; sooner than the deadline. */
  readonly due: Milliseconds;
  latestStart: Milliseconds;
  readonly pool: ServicePool;
  readonly teamGate: LimitGate;
  /** Whether its only task may run more than once. */
  readonly repeatable: boolean;
  readonly open: Map<TaskId, ActiveTask>;
  /** Tasks that wait, the next one last. */
  waiting: ActiveTask[];
  /** Tasks of the job placed so far in each rack. */
  readonly racks: Map<RackName, number> | undefined;
  /** Its place in the queue; created with the job. */
  node: HeapNode<ActiveJob> | undefined;
  /** Undefined until the job is started. */
  ownership: JobOwnership | undefined;
  /** Whether a task was placed. */
  placed: boolean;
  failed: boolean;
  expiry: TimerSubscription | undefined;
}

/** Tasks of one team that wait in one service. */
export interface TeamBacklog {
  tasks: number;
  work: Milliseconds;
}

/** Everything that concerns one service. */
export interface ServicePool {
  readonly service: ServiceName;
  readonly index: TargetIndex;
  readonly health: HealthTracker;
  readonly runTimes: RunTimeModel;
  readonly usage: UsageModel;
  readonly queue: FairQueue<ActiveJob>;
  readonly gate: LimitGate;
  readonly budget: RetryBudget;
  readonly running: LinkedList<ActiveAttempt>;
  readonly backlogs: Map<TeamName, TeamBacklog>;
  /** Targets that refused work lately. */
  readonly held: Set<TargetEntry>;
  configuration: ServiceConfiguration;
  /** Tasks that run at the same time while no slot is free, averaged over about a second. */
  saturatedParallelism: number | undefined;
  queuedTasks: number;
  queuedWork: Milliseconds;
  /** When targets were last asked for their load. */
  askedAt: Milliseconds;
}

/** Response time aimed at, as a multiple of the expected run time of the longest task of a job. */
const aimedResponseOverIdeal = 1.5;

/** Creates the record of a job at its admission. */
export function createActiveJob(
  request: JobRequest,
  requestId: string | undefined,
  pool: ServicePool,
  teamGate: LimitGate,
  now: Milliseconds,
): ActiveJob {
  const estimates = request.tasks.map(task =>
    pool.runTimes.estimate(task.declared?.runMilliseconds),
  );
  const deadline = now + request.deadlineMilliseconds;
  const longest = Math.max(0, ...estimates);
  const job: ActiveJob = {
    request,
    requestId,
    team: request.team,
    cost: estimates.reduce((sum, estimate) => sum + estimate, 0),
    deadline,
    due: Math.min(deadline, now + longest * aimedResponseOverIdeal),
    latestStart: now,
    pool,
    teamGate,
    repeatable: request.idempotent && request.tasks.length === 1,
    open: new Map(),
    waiting: [],
    racks: request.tasks.length > 1 ? new Map<RackName, number>() : undefined,
    node: undefined,
    ownership: undefined,
    placed: false,
    failed: false,
    expiry: undefined,
  };
  request.tasks.forEach((task, position) => {
    const active = createActiveTask(job, task, estimates[position] ?? 0);
    job.open.set(task.taskId, active);
  });
  return job;
}

function createActiveTask(
  job: ActiveJob,
  request: TaskRequest,
  estimate: Milliseconds,
): ActiveTask {
  return {
    job,
    request,
    estimate,
    phase: TaskPhase.Waiting,
    attempts: [],
    lastAttempt: 0,
    startedAttempts: 0,
    refusals: 0,
    excluded: [],
    backoff: undefined,
  };
}

/** The attempt's place among the running attempts. */
export function runningNode(attempt: ActiveAttempt): ListNode<ActiveAttempt> {
  attempt.node ??= createListNode(attempt);
  return attempt.node;
}

/** Adds a task to what waits in the service, or takes it away with `sign` -1. */
export function countWaiting(task: ActiveTask, sign: 1 | -1): void {
  const { pool, team } = task.job;
  const work = sign * task.estimate;
  pool.queuedTasks += sign;
  pool.queuedWork = Math.max(0, pool.queuedWork + work);
  const backlog = findBacklog(pool, team);
  backlog.tasks += sign;
  backlog.work = Math.max(0, backlog.work + work);
}

/** What waits of one team. */
export function findBacklog(pool: ServicePool, team: TeamName): TeamBacklog {
  const known = pool.backlogs.get(team);
  if (known !== undefined) return known;
  const created: TeamBacklog = { tasks: 0, work: 0 };
  pool.backlogs.set(team, created);
  return created;
}

/** The key of an attempt as it was sent. */
export function keyOfAttempt(attempt: ActiveAttempt): AttemptKey {
  return {
    jobId: attempt.task.job.request.jobId,
    taskId: attempt.task.request.taskId,
    attempt: attempt.number,
    epoch: attempt.epoch,
  };
}
