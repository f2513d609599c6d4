/** How a submission ended, before it is turned into an HTTP answer. */
import type { JobResult, Milliseconds } from '@cranberryturn/types';

const unregisteredRetryAfterMilliseconds: Milliseconds = 1_000;
const memoryLimitRetryAfterMilliseconds: Milliseconds = 1_000;

/** How a submission ended. */
export enum SubmissionResultKind {
  /** The job ran, here or elsewhere. */
  Result = 'result',
  /** Nothing of this submission was started, and nothing ever will be. */
  Refused = 'refused',
  /** The job identifier was used with another body. */
  Conflict = 'conflict',
}

/** Why a submission was refused. Each has its HTTP status. */
export enum SubmissionRefusal {
  QuotaExceeded = 'quota-exceeded',
  Unavailable = 'unavailable',
  Impossible = 'impossible',
  TooOld = 'too-old',
}

/** How a submission ended. */
export type SubmissionResult =
  | { readonly kind: SubmissionResultKind.Result; readonly result: JobResult }
  | {
      readonly kind: SubmissionResultKind.Refused;
      readonly refusal: SubmissionRefusal;
      readonly reason: string;
      readonly retryAfterMilliseconds: Milliseconds | undefined;
    }
  | { readonly kind: SubmissionResultKind.Conflict };

/** Composes a refusal that asks the caller to come back. */
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

/** Composes the refusal of a body that does not fit beside those held already. */
export function refuseOverMemoryLimit(): SubmissionResult {
  return refuseTemporarily(
    'This dispatcher holds as many bodies and answers as it may; submit to another one, or come back.',
    memoryLimitRetryAfterMilliseconds,
  );
}

/** Composes the refusal of a dispatcher that control does not know yet. */
export function refuseUnregistered(): SubmissionResult {
  return refuseTemporarily(
    'This dispatcher has not reached control yet; submit to another one, or come back.',
    unregisteredRetryAfterMilliseconds,
  );
}
