/** One task in the ledger, in the least memory that still answers an adopter. */
import {
  type AnsweredAttempt,
  type AttemptKey,
  AttemptOutcome,
  type FailedAttempt,
  type JobId,
  type Milliseconds,
  type OwnershipEpoch,
  type TaskId,
} from '@cranberryturn/types';

import { copyText } from './copy-text.js';

/** How an attempt ended that was started. */
export type EndedAttempt = AnsweredAttempt | FailedAttempt;

/** What became of a started attempt. */
export enum TaskState {
  Running,
  Answered,
  /** Answered, and the answer is no longer kept. */
  AnswerDropped,
  Failed,
}

/** The start of a task. The job is known from the record that holds it; payloads are not kept. */
export interface TaskRecord {
  readonly taskId: TaskId;
  readonly attempt: number;
  readonly epoch: OwnershipEpoch;
  readonly idempotent: boolean;
  state: TaskState;
  /** The answer or the reason of the failure. */
  text: string;
  runMilliseconds: Milliseconds;
}

/** Remembers the start of an attempt. */
export function createTaskRecord(
  { taskId, attempt, epoch }: AttemptKey,
  idempotent: boolean,
): TaskRecord {
  return {
    taskId: copyText(taskId),
    attempt,
    epoch,
    idempotent,
    state: TaskState.Running,
    text: '',
    runMilliseconds: 0,
  };
}

/** Remembers how the attempt ended. */
export function recordTaskEnd(task: TaskRecord, result: EndedAttempt): void {
  task.runMilliseconds = result.runMilliseconds;
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      task.state = TaskState.Answered;
      task.text = result.answer;
      return;
    case AttemptOutcome.Failed:
      task.state = TaskState.Failed;
      task.text = result.reason;
      return;
  }
}

/** Number of answer characters that are kept. */
export function countAnswerCharacters(task: TaskRecord): number {
  return task.state === TaskState.Answered ? task.text.length : 0;
}

/** Drops a kept answer; that the task ran stays known. */
export function dropAnswer(task: TaskRecord): void {
  if (task.state !== TaskState.Answered) return;
  task.state = TaskState.AnswerDropped;
  task.text = '';
}

/** The key of the attempt. */
export function composeAttemptKey(jobId: JobId, task: TaskRecord): AttemptKey {
  const { taskId, attempt, epoch } = task;
  return { jobId, taskId, attempt, epoch };
}

/** The result of the attempt; undefined while it runs and when its answer was dropped. */
export function composeAttemptResult(
  jobId: JobId,
  task: TaskRecord,
): EndedAttempt | undefined {
  const { runMilliseconds, text } = task;
  const key = composeAttemptKey(jobId, task);
  switch (task.state) {
    case TaskState.Running:
    case TaskState.AnswerDropped:
      return undefined;
    case TaskState.Answered:
      return {
        ...key,
        outcome: AttemptOutcome.Answered,
        answer: text,
        runMilliseconds,
      };
    case TaskState.Failed:
      return {
        ...key,
        outcome: AttemptOutcome.Failed,
        reason: text,
        runMilliseconds,
      };
  }
}
