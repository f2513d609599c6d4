/** Places waiting tasks on targets for as long as there are free slots. */
import type { QueueTurn } from '@cranberryturn/admission';
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
  countWaiting,
  runningNode,
  type ServicePool,
  TaskPhase,
} from './active-work.js';
import { queueJob, queueNode } from './queue-job.js';
import { askFilledTargets } from './ask-filled-targets.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Jobs that are passed over in one round because no free target can hold their next task. */
const mostJobsSetAside = 16;

/** Places the waiting tasks of a service in fair order until slots, limits or tasks run out. */
export function placeTasks(context: SchedulerContext, pool: ServicePool): void {
  if (pool.queuedTasks === 0) return;
  const now = context.options.timers.now();
  if (pool.index.hasFree()) placeWaiting(context, pool, now);
  askFilledTargets(context, pool, now);
}

function placeWaiting(
  context: SchedulerContext,
  pool: ServicePool,
  now: Milliseconds,
): void {
  const turn: QueueTurn = {
    now,
    mayStart: team => context.teams.get(team)?.mayStart(now) ?? true,
  };
  const setAside: ActiveJob[] = [];
  while (pool.gate.mayStart(now) && pool.index.hasFree()) {
    const node = pool.queue.next(turn);
    if (node === undefined) break;
    if (placeNextTask(context, pool, node.value, now)) continue;
    pool.queue.remove(node);
    setAside.push(node.value);
    if (setAside.length >= mostJobsSetAside) break;
  }
  for (const job of setAside) queueJob(job);
}

/** Starts a second attempt of a running task elsewhere; false when there is no target for it. */
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

/** Records an attempt that occupies its target. */
export function occupyTarget(
  context: SchedulerContext,
  task: ActiveTask,
  target: TargetEntry,
  attempt: Omit<
    ActiveAttempt,
    'task' | 'target' | 'reserved' | 'straggling' | 'node'
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
    hedge: attempt.hedge,
    reserved: pool.usage.estimate(task.request.declared),
    straggling: false,
    node: undefined,
  };
  task.attempts.push(active);
  context.attempts.get(target)?.add(active);
  task.phase = TaskPhase.Running;
  task.lastAttempt = attempt.number;
  target.outstanding += 1;
  if (active.reserved !== undefined)
    reserveResources(target.reserved, active.reserved, 1);
  pool.running.append(runningNode(active));
  pool.gate.taskStarted();
  job.teamGate.taskStarted();
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
  countWaiting(task, -1);
  if (!job.placed) pool.queue.markStarted(queueNode(job));
  job.placed = true;
  if (job.waiting.length === 0) pool.queue.remove(queueNode(job));
  else queueJob(job);
  if (task.lastAttempt === 0) pool.budget.earn();
  startAttempt(context, task, target, describeChoice(context, target), now);
  return true;
}

function chooseTarget(
  pool: ServicePool,
  task: ActiveTask,
): TargetEntry | undefined {
  return pool.index.choose({
    needed: pool.usage.estimate(task.request.declared),
    excluded: task.excluded,
    racks: task.job.racks,
    repeatable: task.job.repeatable,
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
  const hedge = task.attempts.length > 0;
  const number = task.lastAttempt + 1;
  const epoch = job.ownership?.epoch ?? 0;
  const { jobId } = request;
  const { taskId } = task.request;
  occupyTarget(context, task, target, {
    number,
    epoch,
    startedAt: now,
    hedge,
  });
  countRack(job, target);
  decisions(
    {
      kind: DecisionKind.Placed,
      jobId,
      taskId,
      attempt: number,
      epoch,
      target: target.record.targetId,
      reason,
      candidates: pool.index.weighed,
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
    remainingMilliseconds: job.deadline - now,
    slackMilliseconds: job.due - task.estimate - now,
  });
}

function countRack(job: ActiveJob, target: TargetEntry): void {
  if (job.racks === undefined) return;
  const { rack } = target.record;
  job.racks.set(rack, (job.racks.get(rack) ?? 0) + 1);
}

function describeChoice(
  context: SchedulerContext,
  target: TargetEntry,
): string {
  if (target.health.phase === HealthPhase.Probed) return 'probe';
  if (context.options.dataCentre === undefined) return 'most free slots';
  return target.tier === 0
    ? 'most free slots in this data centre'
    : 'most free slots in another data centre';
}
