/** The target that a sidecar stands beside. */
import type {
  AttemptStart,
  JsonText,
  NotStartedReason,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** How a call to a target failed. */
export enum TargetFailureKind {
  /** The request provably never reached the target. */
  NotReached = 'not-reached',
  /** The target was not asked. */
  NotAsked = 'not-asked',
  /** The target may have run the task. */
  Failed = 'failed',
}

/** A failed call to a target. */
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

/** Runs tasks. */
export interface TargetPort {
  /** Runs one attempt. Aborting the signal gives up on the answer. */
  runAttempt(
    attempt: AttemptStart,
    signal: AbortSignal,
  ): ResultAsync<JsonText, TargetFailure>;
  close(): Promise<void>;
}
