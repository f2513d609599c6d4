/** Refusals of jobs before any of their tasks was started. */
import type { Milliseconds } from '@cranberryturn/types';

/** Why a job was refused. */
export enum RefusalKind {
  /** The team is over its quota. Answered with 429. */
  QuotaExceeded = 'quota-exceeded',
  /** The service is over its limit, or the queue is full. Answered with 503. */
  Overloaded = 'overloaded',
  /** The deadline cannot be met. Answered with 503. */
  DeadlineTooClose = 'deadline-too-close',
  /** No worker can ever hold a task of the job. Answered with 422. */
  Impossible = 'impossible',
  /** No target of the service is known. Answered with 503. */
  NoTarget = 'no-target',
}

/** A refusal: no task of the job was started, and none will be. */
export interface JobRefusal {
  readonly kind: RefusalKind;
  readonly reason: string;
  /** Time after which the caller may retry; undefined when a retry cannot succeed. */
  readonly retryAfterMilliseconds: Milliseconds | undefined;
}
