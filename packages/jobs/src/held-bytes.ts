/** Size of the bodies and answers that a dispatcher holds. */
import type { JobRequest, JobResult } from '@cranberryturn/types';
import { JobOutcome } from '@cranberryturn/types';

/** Counts what is held against a limit. */
export class HeldBytes {
  readonly #limit: number;
  #held = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  get held(): number {
    return this.#held;
  }

  /** Whether this much more stays within the limit. */
  hasRoomFor(bytes: number): boolean {
    return this.#held + bytes <= this.#limit;
  }

  add(bytes: number): void {
    this.#held += bytes;
  }

  release(bytes: number): void {
    this.#held -= bytes;
  }
}

/** Size of a submitted body, as it is kept. */
export function measureRequestSize(request: JobRequest): number {
  return request.tasks.reduce(
    (sum, task) => sum + task.taskId.length + task.payload.length,
    0,
  );
}

/** Size of a result, as it is kept. */
export function measureResultSize(result: JobResult): number {
  if (result.outcome === JobOutcome.Failed) return result.reason.length;
  return result.answers.reduce((sum, one) => sum + one.answer.length, 0);
}
