/** Starts an admitted job once its claim is granted. */
import type { TaskId } from '@cranberryturn/types';

import {
  type ActiveJob,
  type ActiveTask,
  countWaiting,
  TaskPhase,
} from './active-work.js';
import { queueJob } from './queue-job.js';
import { endJob, endTask, forgetJob } from './end-jobs.js';
import { occupyTarget, placeTasks } from './place-tasks.js';
import {
  type JobOwnership,
  TaskOutcomeKind,
  type TaskPlan,
  TaskPlanKind,
} from './ports/scheduler.js';
import { findTarget, type SchedulerContext } from './scheduler-context.js';

/** Queues the tasks to place, and waits for those that run already. Tasks without a plan need nothing more. */
export function startJob(
  context: SchedulerContext,
  job: ActiveJob,
  ownership: JobOwnership,
  plans: readonly TaskPlan[],
): void {
  job.ownership = ownership;
  dropUnplanned(job, plans);
  if (job.open.size === 0) {
    forgetJob(context, job);
    return;
  }
  const remaining = job.deadline - context.options.timers.now();
  job.expiry = context.options.timers.after(remaining, () => {
    endJob(context, job, 'The deadline passed.');
    placeTasks(context, job.pool);
  });
  for (const plan of plans) applyPlan(context, job, plan);
  if (remaining <= 0) {
    endJob(context, job, 'The deadline passed before the job was claimed.');
    return;
  }
  if (job.waiting.length === 0 || job.failed) return;
  job.waiting.reverse();
  job.waiting.sort((left, right) => left.estimate - right.estimate);
  queueJob(job);
  placeTasks(context, job.pool);
}

function dropUnplanned(job: ActiveJob, plans: readonly TaskPlan[]): void {
  if (plans.length >= job.open.size) return;
  const planned = new Set(plans.map(taskOf));
  for (const [taskId, task] of job.open) {
    if (planned.has(taskId)) continue;
    countWaiting(task, -1);
    task.phase = TaskPhase.Ended;
    job.open.delete(taskId);
    job.placed = true;
  }
}

function applyPlan(
  context: SchedulerContext,
  job: ActiveJob,
  plan: TaskPlan,
): void {
  const task = job.open.get(taskOf(plan));
  if (task === undefined) return;
  switch (plan.kind) {
    case TaskPlanKind.Place:
      job.waiting.push(task);
      return;
    case TaskPlanKind.Await:
      awaitAttempt(context, task, plan);
  }
}

function awaitAttempt(
  context: SchedulerContext,
  task: ActiveTask,
  plan: Extract<TaskPlan, { readonly kind: TaskPlanKind.Await }>,
): void {
  const target = findTarget(context, plan.target);
  task.job.placed = true;
  if (target === undefined) {
    const reason = `Target ${plan.target.targetId} runs the task and is not connected.`;
    task.startedAttempts += 1;
    endTask(context, task, { kind: TaskOutcomeKind.Unknown, reason });
    return;
  }
  countWaiting(task, -1);
  occupyTarget(context, task, target, {
    number: plan.attempt.attempt,
    epoch: plan.attempt.epoch,
    startedAt: context.options.timers.now(),
    hedge: false,
  });
}

function taskOf(plan: TaskPlan): TaskId {
  return plan.kind === TaskPlanKind.Place ? plan.taskId : plan.attempt.taskId;
}
