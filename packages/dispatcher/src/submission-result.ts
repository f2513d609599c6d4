/** Result of a submission, from which the HTTP response is composed. */
import type { JobResult, Milliseconds } from '@cranberryturn/types';

const unregisteredRetryAfterMilliseconds: Milliseconds = 1_000;
const memoryLimitRetryAfterMilliseconds: Milliseconds = 1_000;

/** Kind of a submission result. */
export enum SubmissionResultKind {
  /** The job has a result, from this dispatcher or another. */
  Result = 'result',
  /** The submission was refused; nothing was or will be started for it. */
  Refused = 'refused',
  /** The job identifier was used with another body. */
  Conflict = 'conflict',
}

/** Reason of a refusal, mapped to an HTTP status. */
export enum SubmissionRefusal {
  QuotaExceeded = 'quota-exceeded',
  Unavailable = 'unavailable',
  Impossible = 'impossible',
  TooOld = 'too-old',
}

/** Result of a submission. */
export type SubmissionResult =
  | { readonly kind: SubmissionResultKind.Result; readonly result: JobResult }
  | {
      readonly kind: SubmissionResultKind.Refused;
      readonly refusal: SubmissionRefusal;
      readonly reason: string;
      readonly retryAfterMilliseconds: Milliseconds | undefined;
    }
  | { readonly kind: SubmissionResultKind.Conflict };

/** Composes a refusal after which the caller should retry. */
export function refuseTemporarily(
  reason: string,
  retryAfterMilliseconds: Milliseconds,
): SubmissionResult {
  return {
    kind: SubmissionResultKind.Refused,
    refusal: SubmissionRefusal.Unavailable,
    reason,
    retryAfterMilliseconds,
  };
}

/** Composes the refusal of a body that exceeds the limit of held bytes. */
export function refuseOverMemoryLimit(): SubmissionResult {
  return refuseTemporarily(
    'This dispatcher has reached its memory limit for bodies and answers; submit to another dispatcher or retry later.',
    memoryLimitRetryAfterMilliseconds,
  );
}

/** Composes the refusal of a dispatcher that is not registered at control. */
export function refuseUnregistered(): SubmissionResult {
  return refuseTemporarily(
    'This dispatcher is not registered at control; submit to another dispatcher or retry later.',
    unregisteredRetryAfterMilliseconds,
  );
}
