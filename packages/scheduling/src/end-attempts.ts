/** Ends attempts, and retries or ends their tasks. */
import type { TargetEntry } from '@cranberryturn/placement';
import {
  decideRetry,
  type EndedAttempt,
  EndedAttemptKind,
  RetryDecisionKind,
} from '@cranberryturn/retries';
import {
  AttemptOutcome,
  type AttemptResult,
  DecisionKind,
  type Milliseconds,
  NotStartedReason,
  type TargetLoad,
} from '@cranberryturn/types';

import {
  type ActiveAttempt,
  type ActiveTask,
  countWaitingTask,
  TaskPhase,
} from './active-work.js';
import { enqueueJob } from './queue-job.js';
import { type TaskOutcome, TaskOutcomeKind } from './ports/scheduler.js';
import { describeOutcome, endTask, removeAttempt } from './end-jobs.js';
import { recordLoadReport, recordAttemptOutcome } from './record-outcomes.js';
import { placeTasks } from './place-tasks.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Ends an attempt with the result of its target; `load` is the report that came with the result. */
export function endAttempt(
  context: SchedulerContext,
  attempt: ActiveAttempt,
  result: AttemptResult,
  load: TargetLoad | undefined,
): void {
  const { task, target } = attempt;
  const now = context.options.timers.now();
  recordAttemptOutcome(context, attempt, result, now);
  removeAttempt(context, attempt, now);
  if (load !== undefined) recordLoadReport(context, target, load);
  if (task.phase === TaskPhase.Ended) return;
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      endTask(context, task, {
        kind: TaskOutcomeKind.Answered,
        answer: result.answer,
      });
      return;
    case AttemptOutcome.Failed:
      task.startedAttempts += 1;
      retryOrEndTask(
        context,
        task,
        target,
        { kind: EndedAttemptKind.Failed },
        {
          kind: TaskOutcomeKind.Failed,
          reason: result.reason,
        },
      );
      return;
    case AttemptOutcome.NotStarted:
      task.refusalCount += 1;
      retryOrEndTask(
        context,
        task,
        target,
        { kind: EndedAttemptKind.NotStarted, reason: result.reason },
        describeRefusal(task, target, result.reason),
      );
  }
}

/** Ends an attempt whose result can no longer arrive; the task may have been started. */
export function endLostAttempt(
  context: SchedulerContext,
  attempt: ActiveAttempt,
  reason: string,
): void {
  const { task, target } = attempt;
  removeAttempt(context, attempt, context.options.timers.now());
  if (task.phase === TaskPhase.Ended) return;
  task.startedAttempts += 1;
  retryOrEndTask(
    context,
    task,
    target,
    { kind: EndedAttemptKind.Lost },
    { kind: TaskOutcomeKind.Unknown, reason },
  );
}

function describeRefusal(
  task: ActiveTask,
  target: TargetEntry,
  cause: NotStartedReason,
): TaskOutcome {
  const { targetId } = target.record;
  const mayRunElsewhere =
    cause === NotStartedReason.AlreadyStarted ||
    cause === NotStartedReason.Fenced;
  if (mayRunElsewhere || task.startedAttempts > 0) {
    const reason = `Target ${targetId} refused the task (${cause}); another attempt may have been started.`;
    return { kind: TaskOutcomeKind.Unknown, reason };
  }
  const reason = `Target ${targetId} did not start the task: ${cause}.`;
  return { kind: TaskOutcomeKind.NotStarted, reason, cause };
}

function retryOrEndTask(
  context: SchedulerContext,
  task: ActiveTask,
  target: TargetEntry,
  ended: EndedAttempt,
  outcome: TaskOutcome,
): void {
  const { job } = task;
  const { pool } = job;
  if (task.attempts.length > 0) return;
  const isNotStarted = ended.kind === EndedAttemptKind.NotStarted;
  if (!isNotStarted || ended.reason === NotStartedReason.AlreadyStarted)
    task.excludedTargets = [...task.excludedTargets, target];
  const decision = decideRetry(
    {
      ended,
      isRepeatable:
        job.isRepeatable && task.excludedTargets.length < pool.index.size,
      startedAttempts: Math.max(1, task.startedAttempts),
      refusalCount: task.refusalCount,
      remainingMilliseconds: job.deadlineAt - context.options.timers.now(),
      minimumRunMilliseconds: pool.runTimes.findPercentile(10) ?? 0,
    },
    pool.retryBudget,
    context.random,
  );
  if (decision.kind === RetryDecisionKind.GiveUp) {
    endTask(context, task, addGiveUpReason(outcome, decision.reason));
    return;
  }
  scheduleRetry(context, task, outcome, decision.delayMilliseconds);
}

function addGiveUpReason(outcome: TaskOutcome, reason: string): TaskOutcome {
  if (outcome.kind === TaskOutcomeKind.Answered) return outcome;
  return {
    ...outcome,
    reason: `${outcome.reason} Not tried again: ${reason}.`,
  };
}

function scheduleRetry(
  context: SchedulerContext,
  task: ActiveTask,
  outcome: TaskOutcome,
  delayMilliseconds: Milliseconds,
): void {
  const { job } = task;
  context.options.decisions(
    {
      kind: DecisionKind.Retried,
      jobId: job.request.jobId,
      taskId: task.request.taskId,
      attempt: task.lastAttemptNumber + 1,
      reason: describeOutcome(outcome),
      afterMilliseconds: Math.round(delayMilliseconds),
    },
    job.requestId,
  );
  if (delayMilliseconds <= 0) {
    requeueTask(task);
    return;
  }
  task.phase = TaskPhase.BackingOff;
  task.backoffTimer = context.options.timers.after(delayMilliseconds, () => {
    requeueTask(task);
    placeTasks(context, job.pool);
  });
}

function requeueTask(task: ActiveTask): void {
  const { job } = task;
  task.phase = TaskPhase.Waiting;
  countWaitingTask(task, 1);
  job.waiting.push(task);
  enqueueJob(job);
}
