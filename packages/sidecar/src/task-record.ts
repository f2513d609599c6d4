/** Ledger entry of one task, reduced to what an adopting dispatcher needs as evidence. */
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

/** Result of an attempt that was started. */
export type EndedAttempt = AnsweredAttempt | FailedAttempt;

/** State of a started attempt. */
export enum TaskState {
  Running,
  Answered,
  /** Answered, but the answer was dropped to free memory. */
  AnswerDropped,
  Failed,
}

/** The started attempt of a task. The job identifier is in the job record; payloads are not kept. */
export interface TaskRecord {
  readonly taskId: TaskId;
  readonly attempt: number;
  readonly epoch: OwnershipEpoch;
  readonly idempotent: boolean;
  state: TaskState;
  /** The answer or the reason for the failure; empty while running and when dropped. */
  text: string;
  runMilliseconds: Milliseconds;
}

/** Creates the record of a running attempt. Its strings are flat copies. */
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

/** Stores the result of the attempt in its record. */
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

/** Returns the length of the kept answer in characters; 0 when none is kept. */
export function countAnswerCharacters(task: TaskRecord): number {
  return task.state === TaskState.Answered ? task.text.length : 0;
}

/** Drops a kept answer; the record still shows that the task ran. */
export function dropAnswer(task: TaskRecord): void {
  if (task.state !== TaskState.Answered) return;
  task.state = TaskState.AnswerDropped;
  task.text = '';
}

/** Composes the full key of the recorded attempt. */
export function composeAttemptKey(jobId: JobId, task: TaskRecord): AttemptKey {
  const { taskId, attempt, epoch } = task;
  return { jobId, taskId, attempt, epoch };
}

/** Composes the result of the attempt; undefined while it runs and after its answer was dropped. */
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
