/** Compares and copies the keys of attempts. */
import type { AttemptKey } from '@cranberryturn/types';

/** The key alone, without the other fields of a message. */
export function extractAttemptKey(attempt: AttemptKey): AttemptKey {
  return {
    jobId: attempt.jobId,
    taskId: attempt.taskId,
    attempt: attempt.attempt,
    epoch: attempt.epoch,
  };
}

/** Whether all parts of both keys are the same. */
export function isSameAttempt(left: AttemptKey, right: AttemptKey): boolean {
  return (
    left.jobId === right.jobId &&
    left.taskId === right.taskId &&
    left.attempt === right.attempt &&
    left.epoch === right.epoch
  );
}
