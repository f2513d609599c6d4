/** Remembers refused jobs until their callers should have returned. */
import type { TimerService } from '@cranberryturn/timers';
import type { JobId, Milliseconds } from '@cranberryturn/types';

/** Oldest entries are dropped beyond this number, so that a flood of refusals takes bounded memory. */
const maximumEntries = 10_000;
/** Retry times are sent in whole seconds, and a caller may take as long again. */
const toleranceMilliseconds: Milliseconds = 2_000;

/** The callers that this dispatcher has refused. */
export class ReturningCallers {
  readonly #returnAt = new Map<JobId, Milliseconds>();

  constructor(private readonly timers: TimerService) {}

  recordRefusal(jobId: JobId, retryAfter: Milliseconds): void {
    this.#returnAt.delete(jobId);
    this.#returnAt.set(jobId, this.timers.now() + retryAfter);
    if (this.#returnAt.size <= maximumEntries) return;
    const [oldest] = this.#returnAt.keys();
    if (oldest !== undefined) this.#returnAt.delete(oldest);
  }

  /** Whether the caller of a refused job returns in the time that its refusal named. */
  hasReturned(jobId: JobId): boolean {
    const at = this.#returnAt.get(jobId);
    if (at === undefined) return false;
    const now = this.timers.now();
    return now >= at && now <= at + toleranceMilliseconds;
  }
}
