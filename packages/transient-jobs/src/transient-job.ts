/** Transient jobs and their ends. A transient job is never stored: its result goes to the caller that waits. */
import type {
  JobId,
  Milliseconds,
  QueueConfiguration,
  RunRequirements,
} from '@cranberryturn/types';

/** A group of identical tasks of a job. */
export interface JobStep {
  readonly tasks: number;
  readonly need: RunRequirements;
  /** Declared run time of one task; often far off. */
  readonly estimatedMilliseconds: Milliseconds;
  /** Indexes of earlier steps that must be complete before this step starts. */
  readonly after: readonly number[];
  /** Label of the rack that holds the input data; tasks run longer on other racks. */
  readonly dataLabel?: string | undefined;
  /** Maximum number of tasks of the step on one worker. */
  readonly mostPerWorker?: number | undefined;
}

/** A job as the caller submits it. */
export interface TransientJob {
  readonly jobId: JobId;
  /** Identifier of the caller's request. */
  readonly requestId: string;
  readonly queue: QueueConfiguration;
  /** Passed to the workers as it came from the caller. */
  readonly specification: string;
  readonly steps: readonly JobStep[];
  /** Time that the caller waits, from the arrival of the request. */
  readonly deadlineMilliseconds: Milliseconds;
  /** Time between the arrival of the request and the submission of the job. */
  readonly heldMilliseconds: Milliseconds;
  /** Version of the configuration in which the queue was found; for log lines. */
  readonly configurationVersion?: number | undefined;
}

/** Kind of the end of a job. */
export enum TransientJobEndKind {
  /** Every task was done. */
  Completed = 'completed',
  /** A task reached the maximum number of failures of its queue, or no known worker can ever hold a task. */
  Failed = 'failed',
  /** No task was started, and none will be. */
  Refused = 'refused',
  /** All callers have disconnected. */
  Abandoned = 'abandoned',
  /** A caller cancelled the job. */
  Cancelled = 'cancelled',
  /** The dispatcher gave the job up while tasks may have run; the caller may submit the job again. */
  GivenUp = 'given-up',
  /** The deadline of the caller passed. */
  TimedOut = 'timed-out',
}

/** The end of a job, with the details of its kind. */
export type TransientJobEnd =
  | { readonly kind: TransientJobEndKind.Completed }
  | { readonly kind: TransientJobEndKind.Failed; readonly reason: string }
  | {
      readonly kind: TransientJobEndKind.Refused;
      readonly reason: string;
      /** When the caller should retry; undefined when a retry would be refused as well. */
      readonly retryAfterMilliseconds: Milliseconds | undefined;
    }
  | { readonly kind: TransientJobEndKind.Abandoned }
  | { readonly kind: TransientJobEndKind.Cancelled }
  | { readonly kind: TransientJobEndKind.GivenUp; readonly reason: string }
  | { readonly kind: TransientJobEndKind.TimedOut };
