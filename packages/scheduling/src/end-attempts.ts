/** Decides what follows an attempt that ended. */
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
  countWaiting,
  TaskPhase,
} from './active-work.js';
import { queueJob } from './queue-job.js';
import { type TaskOutcome, TaskOutcomeKind } from './ports/scheduler.js';
import { describeStop, endTask, leaveTarget } from './end-jobs.js';
import { learnLoad, learnOutcome } from './learn-outcome.js';
import { placeTasks } from './place-tasks.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Takes in the result of an attempt that occupied its target. */
export function endAttempt(
  context: SchedulerContext,
  attempt: ActiveAttempt,
  result: AttemptResult,
  load: TargetLoad | undefined,
): void {
  const { task, target } = attempt;
  const now = context.options.timers.now();
  learnOutcome(context, attempt, result, now);
  leaveTarget(context, attempt, now);
  if (load !== undefined) learnLoad(context, target, load);
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
      decideNext(
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
      task.refusals += 1;
      decideNext(
        context,
        task,
        target,
        { kind: EndedAttemptKind.NotStarted, reason: result.reason },
        describeRefusal(task, target, result.reason),
      );
  }
}

/** Ends an attempt of which nothing more will be heard. */
export function loseAttempt(
  context: SchedulerContext,
  attempt: ActiveAttempt,
  reason: string,
): void {
  const { task, target } = attempt;
  leaveTarget(context, attempt, context.options.timers.now());
  if (task.phase === TaskPhase.Ended) return;
  task.startedAttempts += 1;
  decideNext(
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

function decideNext(
  context: SchedulerContext,
  task: ActiveTask,
  target: TargetEntry,
  ended: EndedAttempt,
  fate: TaskOutcome,
): void {
  const { job } = task;
  const { pool } = job;
  if (task.attempts.length > 0) return;
  const notStarted = ended.kind === EndedAttemptKind.NotStarted;
  if (!notStarted || ended.reason === NotStartedReason.AlreadyStarted)
    task.excluded = [...task.excluded, target];
  const decision = decideRetry(
    {
      ended,
      repeatable: job.repeatable && task.excluded.length < pool.index.size,
      startedAttempts: Math.max(1, task.startedAttempts),
      refusals: task.refusals,
      remainingMilliseconds: job.deadline - context.options.timers.now(),
      shortestRunMilliseconds: pool.runTimes.quantile(10) ?? 0,
    },
    pool.budget,
    context.random,
  );
  if (decision.kind === RetryDecisionKind.GiveUp) {
    endTask(context, task, explainFate(fate, decision.reason));
    return;
  }
  tryAgain(context, task, fate, decision.delayMilliseconds);
}

function explainFate(fate: TaskOutcome, reason: string): TaskOutcome {
  if (fate.kind === TaskOutcomeKind.Answered) return fate;
  return { ...fate, reason: `${fate.reason} Not tried again: ${reason}.` };
}

function tryAgain(
  context: SchedulerContext,
  task: ActiveTask,
  fate: TaskOutcome,
  delayMilliseconds: Milliseconds,
): void {
  const { job } = task;
  context.options.decisions(
    {
      kind: DecisionKind.Retried,
      jobId: job.request.jobId,
      taskId: task.request.taskId,
      attempt: task.lastAttempt + 1,
      reason: describeStop(fate),
      afterMilliseconds: Math.round(delayMilliseconds),
    },
    job.requestId,
  );
  if (delayMilliseconds <= 0) {
    enqueueAgain(task);
    return;
  }
  task.phase = TaskPhase.BackingOff;
  task.backoff = context.options.timers.after(delayMilliseconds, () => {
    enqueueAgain(task);
    placeTasks(context, job.pool);
  });
}

function enqueueAgain(task: ActiveTask): void {
  const { job } = task;
  task.phase = TaskPhase.Waiting;
  countWaiting(task, 1);
  job.waiting.push(task);
  queueJob(job);
}
