/** Ends tasks and jobs for good. */
import { removeNode } from '@cranberryturn/admission';
import { reserveResources } from '@cranberryturn/placement';
import { DecisionKind, type Milliseconds } from '@cranberryturn/types';

import {
  type ActiveAttempt,
  type ActiveJob,
  type ActiveTask,
  countWaiting,
  keyOfAttempt,
  runningNode,
  TaskPhase,
} from './active-work.js';
import { noteEnded } from './learn-usage.js';
import { type TaskOutcome, TaskOutcomeKind } from './ports/scheduler.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Frees what the attempt occupied. */
export function leaveTarget(
  context: SchedulerContext,
  attempt: ActiveAttempt,
  now: Milliseconds,
): void {
  const { task, target } = attempt;
  const { job } = task;
  const position = task.attempts.indexOf(attempt);
  if (position >= 0) task.attempts.splice(position, 1);
  context.attempts.get(target)?.delete(attempt);
  context.abandoned.delete(attempt);
  removeNode(runningNode(attempt));
  target.outstanding -= 1;
  if (attempt.reserved !== undefined)
    reserveResources(target.reserved, attempt.reserved, -1);
  noteEnded(context, attempt, now);
  job.pool.gate.taskEnded();
  job.teamGate.taskEnded();
  job.pool.index.update(target, now);
}

/** Ends all tasks of a job that have not ended: those that wait as not started, those that run as unknown. */
export function endJob(
  context: SchedulerContext,
  job: ActiveJob,
  reason: string,
): void {
  job.failed = true;
  if (job.node !== undefined) job.pool.queue.remove(job.node);
  job.waiting = [];
  for (const task of [...job.open.values()]) {
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

/** Ends a task for good and reports its fate. A task without an answer ends its whole job. */
export function endTask(
  context: SchedulerContext,
  task: ActiveTask,
  fate: TaskOutcome,
): void {
  if (task.phase === TaskPhase.Ended) return;
  const { job } = task;
  const { jobId } = job.request;
  const { taskId } = task.request;
  const waited = task.phase === TaskPhase.Waiting;
  if (waited) countWaiting(task, -1);
  task.phase = TaskPhase.Ended;
  task.backoff?.cancel();
  if (fate.kind === TaskOutcomeKind.Answered) learnFromLosers(context, task);
  stopAttempts(context, task, describeStop(fate));
  job.open.delete(taskId);
  if (job.open.size === 0) forgetJob(context, job);
  context.options.observer.taskEnded(jobId, taskId, fate);
  if (fate.kind === TaskOutcomeKind.Answered || job.failed) return;
  endJob(context, job, `Task "${taskId}" of the job has no answer.`);
}

/** Removes a job that has ended or was never started. */
export function forgetJob(context: SchedulerContext, job: ActiveJob): void {
  job.expiry?.cancel();
  if (job.node !== undefined) job.pool.queue.remove(job.node);
  context.jobs.delete(job.request.jobId);
}

/** An attempt that another one overtook is evidence that its target is slow. */
function learnFromLosers(context: SchedulerContext, task: ActiveTask): void {
  const { pool } = task.job;
  const now = context.options.timers.now();
  for (const attempt of task.attempts) {
    if (attempt.hedge) continue;
    const elapsed = now - attempt.startedAt;
    const slowness = elapsed / Math.max(1, task.estimate);
    pool.health.recordStraggler(attempt.target, slowness, now);
    pool.index.update(attempt.target, now);
  }
}

function stopAttempts(
  context: SchedulerContext,
  task: ActiveTask,
  reason: string,
): void {
  for (const attempt of task.attempts) {
    context.abandoned.add(attempt);
    context.cancels.add(attempt.target, keyOfAttempt(attempt), reason);
  }
}

/** Why the remaining attempts of a task are stopped. */
export function describeStop(fate: TaskOutcome): string {
  return fate.kind === TaskOutcomeKind.Answered
    ? 'another attempt answered'
    : fate.reason;
}
