/** Port to the target beside the sidecar. */
import type {
  AttemptStart,
  JsonText,
  NotStartedReason,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** Kinds of failure; they decide whether the task may be started again. */
export enum TargetFailureKind {
  /** The request provably never reached the target. */
  NotReached = 'not-reached',
  /** No request was sent. */
  NotAsked = 'not-asked',
  /** The target may have run the task. */
  Failed = 'failed',
}

/** Failure of an attempt on a target. */
export type TargetFailure =
  | {
      readonly kind: TargetFailureKind.NotReached | TargetFailureKind.Failed;
      readonly reason: string;
    }
  | {
      readonly kind: TargetFailureKind.NotAsked;
      readonly reason: string;
      readonly cause: NotStartedReason;
    };

/** Runs attempts on a target. */
export interface TargetPort {
  /** Runs one attempt and returns its answer as JSON text. Aborting the signal abandons the answer. */
  runAttempt(
    attempt: AttemptStart,
    signal: AbortSignal,
  ): ResultAsync<JsonText, TargetFailure>;
  close(): Promise<void>;
}
