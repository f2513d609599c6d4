/** Starts an admitted job after its claim is granted. */
import type { TaskId } from '@cranberryturn/types';

import {
  type ActiveJob,
  type ActiveTask,
  countWaitingTask,
  TaskPhase,
} from './active-work.js';
import { enqueueJob } from './queue-job.js';
import { endJob, endTask, removeJob } from './end-jobs.js';
import { addAttempt, placeTasks } from './place-tasks.js';
import {
  type JobOwnership,
  TaskOutcomeKind,
  type TaskPlan,
  TaskPlanKind,
} from './ports/scheduler.js';
import { findTarget, type SchedulerContext } from './scheduler-context.js';

/** Queues the tasks to place, and awaits the attempts that run already. Tasks without a plan have ended. */
export function startJob(
  context: SchedulerContext,
  job: ActiveJob,
  ownership: JobOwnership,
  plans: readonly TaskPlan[],
): void {
  job.ownership = ownership;
  removeUnplannedTasks(job, plans);
  if (job.openTasks.size === 0) {
    removeJob(context, job);
    return;
  }
  const remainingMilliseconds = job.deadlineAt - context.options.timers.now();
  job.deadlineTimer = context.options.timers.after(
    remainingMilliseconds,
    () => {
      endJob(context, job, 'The deadline passed.');
      placeTasks(context, job.pool);
    },
  );
  for (const plan of plans) applyPlan(context, job, plan);
  if (remainingMilliseconds <= 0) {
    endJob(context, job, 'The deadline passed before the job was claimed.');
    return;
  }
  if (job.waiting.length === 0 || job.hasFailed) return;
  job.waiting.reverse();
  job.waiting.sort(
    (left, right) =>
      left.expectedRunMilliseconds - right.expectedRunMilliseconds,
  );
  enqueueJob(job);
  placeTasks(context, job.pool);
}

function removeUnplannedTasks(
  job: ActiveJob,
  plans: readonly TaskPlan[],
): void {
  if (plans.length >= job.openTasks.size) return;
  const planned = new Set(plans.map(findPlannedTask));
  for (const [taskId, task] of job.openTasks) {
    if (planned.has(taskId)) continue;
    countWaitingTask(task, -1);
    task.phase = TaskPhase.Ended;
    job.openTasks.delete(taskId);
    job.hasPlacedTask = true;
  }
}

function applyPlan(
  context: SchedulerContext,
  job: ActiveJob,
  plan: TaskPlan,
): void {
  const task = job.openTasks.get(findPlannedTask(plan));
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
  task.job.hasPlacedTask = true;
  if (target === undefined) {
    const reason = `Target ${plan.target.targetId} runs the task and is not connected.`;
    task.startedAttempts += 1;
    endTask(context, task, { kind: TaskOutcomeKind.Unknown, reason });
    return;
  }
  countWaitingTask(task, -1);
  addAttempt(context, task, target, {
    number: plan.attempt.attempt,
    epoch: plan.attempt.epoch,
    startedAt: context.options.timers.now(),
    isHedge: false,
  });
}

function findPlannedTask(plan: TaskPlan): TaskId {
  return plan.kind === TaskPlanKind.Place ? plan.taskId : plan.attempt.taskId;
}
