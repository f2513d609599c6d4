/** Places waiting tasks on targets while slots are free, and starts hedged attempts. */
import type { SelectionCriteria } from '@cranberryturn/admission';
import {
  HealthPhase,
  reserveResources,
  type TargetEntry,
} from '@cranberryturn/placement';
import { DecisionKind, type Milliseconds } from '@cranberryturn/types';

import {
  type ActiveAttempt,
  type ActiveJob,
  type ActiveTask,
  countWaitingTask,
  findRunningNode,
  type ServicePool,
  TaskPhase,
} from './active-work.js';
import { enqueueJob, findQueueNode } from './queue-job.js';
import { requestLoadReports } from './request-load-reports.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Jobs skipped in one pass because no free target can hold their next task; bounds the cost of a pass. */
const maximumSkippedJobs = 16;

/** Places the waiting tasks of a service in fair order until no slot, limit or task is left. */
export function placeTasks(context: SchedulerContext, pool: ServicePool): void {
  if (pool.queuedTasks === 0) return;
  const now = context.options.timers.now();
  if (pool.index.hasFreeSlots()) placeWaitingTasks(context, pool, now);
  requestLoadReports(context, pool, now);
}

function placeWaitingTasks(
  context: SchedulerContext,
  pool: ServicePool,
  now: Milliseconds,
): void {
  const criteria: SelectionCriteria = {
    now,
    canStart: team => context.teams.get(team)?.canStart(now) ?? true,
  };
  const skippedJobs: ActiveJob[] = [];
  while (pool.limiter.canStart(now) && pool.index.hasFreeSlots()) {
    const node = pool.queue.selectNextJob(criteria);
    if (node === undefined) break;
    if (placeNextTask(context, pool, node.value, now)) continue;
    pool.queue.remove(node);
    skippedJobs.push(node.value);
    if (skippedJobs.length >= maximumSkippedJobs) break;
  }
  for (const job of skippedJobs) enqueueJob(job);
}

/** Starts a second attempt of a running task on another target. Returns false when no target can take it. */
export function startHedge(
  context: SchedulerContext,
  task: ActiveTask,
): boolean {
  const { pool } = task.job;
  const target = chooseTarget(pool, task);
  if (target === undefined) return false;
  startAttempt(context, task, target, 'hedge of a slow attempt');
  return true;
}

/** Records an attempt, which from now on holds a slot and resources of its target and counts against limits. */
export function addAttempt(
  context: SchedulerContext,
  task: ActiveTask,
  target: TargetEntry,
  attempt: Omit<
    ActiveAttempt,
    'task' | 'target' | 'reservedResources' | 'isStraggler' | 'node'
  >,
): void {
  const { job } = task;
  const { pool } = job;
  const active: ActiveAttempt = {
    task,
    number: attempt.number,
    epoch: attempt.epoch,
    target,
    startedAt: attempt.startedAt,
    isHedge: attempt.isHedge,
    reservedResources: pool.usage.estimate(task.request.declared),
    isStraggler: false,
    node: undefined,
  };
  task.attempts.push(active);
  context.attempts.get(target)?.add(active);
  task.phase = TaskPhase.Running;
  task.lastAttemptNumber = attempt.number;
  target.outstandingAttempts += 1;
  if (active.reservedResources !== undefined)
    reserveResources(target.reservedResources, active.reservedResources, 1);
  pool.running.append(findRunningNode(active));
  pool.limiter.recordTaskStart();
  job.teamLimiter.recordTaskStart();
  pool.index.update(target, attempt.startedAt);
}

function placeNextTask(
  context: SchedulerContext,
  pool: ServicePool,
  job: ActiveJob,
  now: Milliseconds,
): boolean {
  const task = job.waiting.at(-1);
  if (task === undefined) return false;
  const target = chooseTarget(pool, task);
  if (target === undefined) return false;
  job.waiting.pop();
  countWaitingTask(task, -1);
  if (!job.hasPlacedTask) pool.queue.markStarted(findQueueNode(job));
  job.hasPlacedTask = true;
  if (job.waiting.length === 0) pool.queue.remove(findQueueNode(job));
  else enqueueJob(job);
  if (task.lastAttemptNumber === 0) pool.retryBudget.recordFirstAttempt();
  startAttempt(context, task, target, describeChoice(context, target), now);
  return true;
}

function chooseTarget(
  pool: ServicePool,
  task: ActiveTask,
): TargetEntry | undefined {
  return pool.index.chooseTarget({
    expectedUsage: pool.usage.estimate(task.request.declared),
    excludedTargets: task.excludedTargets,
    tasksPerRack: task.job.tasksPerRack,
    isRepeatable: task.job.isRepeatable,
    registeredUpTo: task.job.ownership?.registeredUpTo,
  });
}

function startAttempt(
  context: SchedulerContext,
  task: ActiveTask,
  target: TargetEntry,
  reason: string,
  now: Milliseconds = context.options.timers.now(),
): void {
  const { job } = task;
  const { request, pool } = job;
  const { dispatcherId, decisions, sender } = context.options;
  const isHedge = task.attempts.length > 0;
  const number = task.lastAttemptNumber + 1;
  const epoch = job.ownership?.epoch ?? 0;
  const { jobId } = request;
  const { taskId } = task.request;
  addAttempt(context, task, target, {
    number,
    epoch,
    startedAt: now,
    isHedge,
  });
  countTaskInRack(job, target);
  decisions(
    {
      kind: DecisionKind.Placed,
      jobId,
      taskId,
      attempt: number,
      epoch,
      target: target.record.targetId,
      reason,
      candidates: pool.index.candidateCount,
    },
    job.requestId,
  );
  sender.startAttempt(target.record, {
    jobId,
    taskId,
    attempt: number,
    epoch,
    service: request.service,
    dispatcher: dispatcherId,
    payload: task.request.payload,
    declared: task.request.declared,
    idempotent: request.idempotent,
    remainingMilliseconds: job.deadlineAt - now,
    slackMilliseconds: job.dueAt - task.expectedRunMilliseconds - now,
  });
}

function countTaskInRack(job: ActiveJob, target: TargetEntry): void {
  if (job.tasksPerRack === undefined) return;
  const { rack } = target.record;
  job.tasksPerRack.set(rack, (job.tasksPerRack.get(rack) ?? 0) + 1);
}

function describeChoice(
  context: SchedulerContext,
  target: TargetEntry,
): string {
  if (target.health.phase === HealthPhase.Probing) return 'probe';
  if (context.options.dataCentre === undefined) return 'most free slots';
  return target.tier === 0
    ? 'most free slots in this data centre'
    : 'most free slots in another data centre';
}
