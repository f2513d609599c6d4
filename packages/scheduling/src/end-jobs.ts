/** Ends tasks and jobs, and releases what their attempts hold. */
import { removeFromList } from '@cranberryturn/admission';
import { reserveResources } from '@cranberryturn/placement';
import { DecisionKind, type Milliseconds } from '@cranberryturn/types';

import {
  type ActiveAttempt,
  type ActiveJob,
  type ActiveTask,
  countWaitingTask,
  createAttemptKey,
  findRunningNode,
  TaskPhase,
} from './active-work.js';
import { recordEndedTask } from './record-usage.js';
import { type TaskOutcome, TaskOutcomeKind } from './ports/scheduler.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Releases the slot, the resources and the limits that an attempt holds. */
export function removeAttempt(
  context: SchedulerContext,
  attempt: ActiveAttempt,
  now: Milliseconds,
): void {
  const { task, target } = attempt;
  const { job } = task;
  const position = task.attempts.indexOf(attempt);
  if (position >= 0) task.attempts.splice(position, 1);
  context.attempts.get(target)?.delete(attempt);
  context.abandonedAttempts.delete(attempt);
  removeFromList(findRunningNode(attempt));
  target.outstandingAttempts -= 1;
  if (attempt.reservedResources !== undefined)
    reserveResources(target.reservedResources, attempt.reservedResources, -1);
  recordEndedTask(context, attempt, now);
  job.pool.limiter.recordTaskEnd();
  job.teamLimiter.recordTaskEnd();
  job.pool.index.update(target, now);
}

/** Ends all open tasks of a job: waiting tasks as not started, tasks that may have been started as unknown. */
export function endJob(
  context: SchedulerContext,
  job: ActiveJob,
  reason: string,
): void {
  job.hasFailed = true;
  if (job.node !== undefined) job.pool.queue.remove(job.node);
  job.waiting = [];
  for (const task of [...job.openTasks.values()]) {
    const mayRun = task.startedAttempts > 0 || task.attempts.length > 0;
    const { jobId } = job.request;
    const { taskId } = task.request;
    context.options.decisions(
      { kind: DecisionKind.Cancelled, jobId, taskId, reason },
      job.requestId,
    );
    endTask(context, task, {
      kind: mayRun ? TaskOutcomeKind.Unknown : TaskOutcomeKind.NotStarted,
      reason,
    });
  }
}

/** Ends a task and reports its outcome to the observer. A task without an answer ends its whole job. */
export function endTask(
  context: SchedulerContext,
  task: ActiveTask,
  outcome: TaskOutcome,
): void {
  if (task.phase === TaskPhase.Ended) return;
  const { job } = task;
  const { jobId } = job.request;
  const { taskId } = task.request;
  const wasWaiting = task.phase === TaskPhase.Waiting;
  if (wasWaiting) countWaitingTask(task, -1);
  task.phase = TaskPhase.Ended;
  task.backoffTimer?.cancel();
  if (outcome.kind === TaskOutcomeKind.Answered)
    recordOvertakenAttempts(context, task);
  cancelAttempts(context, task, describeOutcome(outcome));
  job.openTasks.delete(taskId);
  if (job.openTasks.size === 0) removeJob(context, job);
  context.options.observer.taskEnded(jobId, taskId, outcome);
  if (outcome.kind === TaskOutcomeKind.Answered || job.hasFailed) return;
  endJob(context, job, `Task "${taskId}" of the job has no answer.`);
}

/** Removes a job that has ended or was never started, and cancels its deadline timer. */
export function removeJob(context: SchedulerContext, job: ActiveJob): void {
  job.deadlineTimer?.cancel();
  if (job.node !== undefined) job.pool.queue.remove(job.node);
  context.jobs.delete(job.request.jobId);
}

/** Records a slowdown of each target whose attempt was overtaken by its hedge. */
function recordOvertakenAttempts(
  context: SchedulerContext,
  task: ActiveTask,
): void {
  const { pool } = task.job;
  const now = context.options.timers.now();
  for (const attempt of task.attempts) {
    if (attempt.isHedge) continue;
    const elapsedMilliseconds = now - attempt.startedAt;
    const slowdown =
      elapsedMilliseconds / Math.max(1, task.expectedRunMilliseconds);
    pool.health.recordStraggler(attempt.target, slowdown, now);
    pool.index.update(attempt.target, now);
  }
}

function cancelAttempts(
  context: SchedulerContext,
  task: ActiveTask,
  reason: string,
): void {
  for (const attempt of task.attempts) {
    context.abandonedAttempts.add(attempt);
    context.cancelBatcher.add(
      attempt.target,
      createAttemptKey(attempt),
      reason,
    );
  }
}

/** Describes an outcome as the reason of a cancellation or a retry. */
export function describeOutcome(outcome: TaskOutcome): string {
  return outcome.kind === TaskOutcomeKind.Answered
    ? 'another attempt answered'
    : outcome.reason;
}
