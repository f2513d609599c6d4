/** Jobs that need not be stored, and how they end. */
import type {
  JobId,
  Milliseconds,
  QueueConfiguration,
  RunNeed,
} from '@cranberryturn/types';

/** Tasks of a job that are alike. */
export interface JobStep {
  readonly tasks: number;
  readonly need: RunNeed;
  /** Declared run time of one task; often far off. */
  readonly estimatedMilliseconds: Milliseconds;
  /** Earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Label of the rack that holds the data; the tasks take longer elsewhere. */
  readonly dataLabel?: string | undefined;
  /** Most tasks of the step on one worker. */
  readonly mostPerWorker?: number | undefined;
}

/** A job whose answer is given when it has ended, and that nobody asks for later. */
export interface TransientJob {
  readonly jobId: JobId;
  /** Identifier of the caller's request. */
  readonly requestId: string;
  readonly queue: QueueConfiguration;
  /** Passed to the workers as it came from the caller. */
  readonly specification: string;
  readonly steps: readonly JobStep[];
  /** Time for which the caller waits, from when its request arrived. */
  readonly deadlineMilliseconds: Milliseconds;
  /** Time for which the request was held before the job was handed in. */
  readonly heldMilliseconds: Milliseconds;
}

/** How a job ended. */
export enum TransientJobEndKind {
  /** Every task was done. */
  Completed = 'completed',
  /** A task failed as often as it may. */
  Failed = 'failed',
  /** Nothing was started, and nothing will be. */
  Refused = 'refused',
  /** The caller left, or waits for the job on another connection. */
  Abandoned = 'abandoned',
  /** Tasks were started and the job was given up; it may be sent again. */
  GivenUp = 'given-up',
  /** The caller waits no longer. */
  TimedOut = 'timed-out',
}

/** How a job ended. */
export type TransientJobEnd =
  | { readonly kind: TransientJobEndKind.Completed }
  | { readonly kind: TransientJobEndKind.Failed; readonly reason: string }
  | {
      readonly kind: TransientJobEndKind.Refused;
      readonly reason: string;
      /** When to come back; undefined when it would be refused again. */
      readonly retryAfterMilliseconds: Milliseconds | undefined;
    }
  | { readonly kind: TransientJobEndKind.Abandoned }
  | { readonly kind: TransientJobEndKind.GivenUp; readonly reason: string }
  | { readonly kind: TransientJobEndKind.TimedOut };
