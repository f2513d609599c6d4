/** Limits one dispatcher to its share of a concurrency limit and of a rate limit. */
import type { Milliseconds } from '@cranberryturn/types';

/** Time for which the token bucket saves unused starts; bounds bursts. */
export const burstMilliseconds: Milliseconds = 100;

const millisecondsPerSecond = 1_000;

/** Limits the running tasks and, by a token bucket, the starts a second of a service or a team. */
export class TaskLimiter {
  /** Share of the concurrency limit; infinite without a limit. */
  concurrencyShare = Number.POSITIVE_INFINITY;
  running = 0;
  #startsPerSecond = Number.POSITIVE_INFINITY;
  #tokens = 1;
  #refilledAt: Milliseconds = 0;
  #recentStartsPerSecond = 0;
  #startsSinceMeasurement = 0;
  #measuredAt: Milliseconds = 0;

  get startsPerSecondShare(): number {
    return this.#startsPerSecond;
  }

  setStartsPerSecondShare(share: number, now: Milliseconds): void {
    if (share === this.#startsPerSecond) return;
    this.#refillTokens(now);
    this.#startsPerSecond = share;
    this.#tokens = Math.min(this.#tokens, this.#computeMaximumTokens());
  }

  /** Whether both limits allow a task to start now. */
  canStart(now: Milliseconds): boolean {
    if (this.running >= this.concurrencyShare) return false;
    if (this.#startsPerSecond === Number.POSITIVE_INFINITY) return true;
    this.#refillTokens(now);
    return this.#tokens >= 1;
  }

  /** Counts a started task and takes one token. */
  recordTaskStart(): void {
    this.running += 1;
    this.#startsSinceMeasurement += 1;
    if (this.#startsPerSecond !== Number.POSITIVE_INFINITY) this.#tokens -= 1;
  }

  recordTaskEnd(): void {
    this.running -= 1;
  }

  /** Returns the starts a second, averaged over about the last second. */
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

  /** Returns the time until the rate allows a start; infinite when a task must end first or the rate is 0. */
  computeTimeUntilStart(now: Milliseconds): Milliseconds {
    if (this.running >= this.concurrencyShare) return Number.POSITIVE_INFINITY;
    if (this.canStart(now)) return 0;
    if (this.#startsPerSecond <= 0) return Number.POSITIVE_INFINITY;
    const missingTokens = 1 - this.#tokens;
    return (missingTokens * millisecondsPerSecond) / this.#startsPerSecond;
  }

  /** Returns the number of tasks that may run concurrently when each takes `runMilliseconds`. */
  computeParallelism(runMilliseconds: Milliseconds): number {
    const rateParallelism =
      (this.#startsPerSecond * runMilliseconds) / millisecondsPerSecond;
    return Math.min(this.concurrencyShare, rateParallelism);
  }

  #refillTokens(now: Milliseconds): void {
    if (this.#startsPerSecond === Number.POSITIVE_INFINITY) {
      this.#refilledAt = now;
      return;
    }
    const earnedTokens =
      ((now - this.#refilledAt) * this.#startsPerSecond) /
      millisecondsPerSecond;
    this.#refilledAt = now;
    this.#tokens = Math.min(
      this.#computeMaximumTokens(),
      this.#tokens + earnedTokens,
    );
  }

  #computeMaximumTokens(): number {
    const burstTokens =
      (this.#startsPerSecond * burstMilliseconds) / millisecondsPerSecond;
    return Math.max(1, burstTokens);
  }
}
