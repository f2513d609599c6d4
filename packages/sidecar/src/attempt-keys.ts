/** Helpers for the keys that identify attempts. */
import type { AttemptKey } from '@cranberryturn/types';

/** Returns the key fields of a message without its other fields. */
export function extractAttemptKey(attempt: AttemptKey): AttemptKey {
  return {
    jobId: attempt.jobId,
    taskId: attempt.taskId,
    attempt: attempt.attempt,
    epoch: attempt.epoch,
  };
}

/** Returns whether all fields of both keys are equal, including the epoch. */
export function isSameAttempt(left: AttemptKey, right: AttemptKey): boolean {
  return (
    left.jobId === right.jobId &&
    left.taskId === right.taskId &&
    left.attempt === right.attempt &&
    left.epoch === right.epoch
  );
}
