/** Holds one dispatcher to its share of a concurrency limit and of a rate limit. */
import type { Milliseconds } from '@cranberryturn/types';

/** Longest time for which unused starts are saved. */
export const burstMilliseconds: Milliseconds = 100;

const millisecondsPerSecond = 1_000;

/** Counts the running tasks and the starts of a service or a team. */
export class TaskLimiter {
  /** Share of the concurrency limit; infinite when there is none. */
  concurrencyShare = Number.POSITIVE_INFINITY;
  running = 0;
  #startsPerSecondShare = Number.POSITIVE_INFINITY;
  #tokens = 1;
  #refilledAt: Milliseconds = 0;
  #recentStartsPerSecond = 0;
  #startsSinceMeasurement = 0;
  #measuredAt: Milliseconds = 0;

  get startsPerSecondShare(): number {
    return this.#startsPerSecondShare;
  }

  setStartsPerSecondShare(share: number, now: Milliseconds): void {
    if (share === this.#startsPerSecondShare) return;
    this.#refillTokens(now);
    this.#startsPerSecondShare = share;
    this.#tokens = Math.min(this.#tokens, this.#computeMaximumTokens());
  }

  /** Whether a task may start now. */
  canStart(now: Milliseconds): boolean {
    if (this.running >= this.concurrencyShare) return false;
    if (this.#startsPerSecondShare === Number.POSITIVE_INFINITY) return true;
    this.#refillTokens(now);
    return this.#tokens >= 1;
  }

  recordTaskStart(): void {
    this.running += 1;
    this.#startsSinceMeasurement += 1;
    if (this.#startsPerSecondShare !== Number.POSITIVE_INFINITY)
      this.#tokens -= 1;
  }

  recordTaskEnd(): void {
    this.running -= 1;
  }

  /** Starts a second of about the last second. */
  measureStartsPerSecond(now: Milliseconds): number {
    const elapsed = now - this.#measuredAt;
    if (elapsed <= 0) return this.#recentStartsPerSecond;
    const rate =
      (this.#startsSinceMeasurement * millisecondsPerSecond) / elapsed;
    const weight = Math.min(1, elapsed / millisecondsPerSecond);
    this.#recentStartsPerSecond +=
      (rate - this.#recentStartsPerSecond) * weight;
    this.#startsSinceMeasurement = 0;
    this.#measuredAt = now;
    return this.#recentStartsPerSecond;
  }

  /** Time until the rate lets another task start; infinite when only an ending task helps. */
  computeTimeUntilStart(now: Milliseconds): Milliseconds {
    if (this.running >= this.concurrencyShare) return Number.POSITIVE_INFINITY;
    if (this.canStart(now)) return 0;
    if (this.#startsPerSecondShare <= 0) return Number.POSITIVE_INFINITY;
    const missingTokens = 1 - this.#tokens;
    return (missingTokens * millisecondsPerSecond) / this.#startsPerSecondShare;
  }

  /** Tasks that this share lets run at the same time when each takes `runMilliseconds`. */
  computeParallelism(runMilliseconds: Milliseconds): number {
    const rateParallelism =
      (this.#startsPerSecondShare * runMilliseconds) / millisecondsPerSecond;
    return Math.min(this.concurrencyShare, rateParallelism);
  }

  #refillTokens(now: Milliseconds): void {
    if (this.#startsPerSecondShare === Number.POSITIVE_INFINITY) {
      this.#refilledAt = now;
      return;
    }
    const earnedTokens =
      ((now - this.#refilledAt) * this.#startsPerSecondShare) /
      millisecondsPerSecond;
    this.#refilledAt = now;
    this.#tokens = Math.min(
      this.#computeMaximumTokens(),
      this.#tokens + earnedTokens,
    );
  }

  #computeMaximumTokens(): number {
    const burstTokens =
      (this.#startsPerSecondShare * burstMilliseconds) / millisecondsPerSecond;
    return Math.max(1, burstTokens);
  }
}
