/** Why a job is refused before anything of it was started. */
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

/** A refusal: nothing of the job was started, and nothing ever will be. */
export interface JobRefusal {
  readonly kind: RefusalKind;
  readonly reason: string;
  /** When the caller should come back; undefined when it never helps. */
  readonly retryAfterMilliseconds: Milliseconds | undefined;
}
