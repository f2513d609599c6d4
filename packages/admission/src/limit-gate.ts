/** Holds one dispatcher to its share of a concurrency limit and of a rate limit. */
import type { Milliseconds } from '@cranberryturn/types';

/** Longest time for which unused starts are saved. */
export const savedStartsMilliseconds: Milliseconds = 100;

const millisecondsPerSecond = 1_000;

/** Counts the running tasks and the starts of a service or a team. */
export class LimitGate {
  /** Share of the concurrency limit; infinite when there is none. */
  concurrencyShare = Number.POSITIVE_INFINITY;
  running = 0;
  #startsPerSecond = Number.POSITIVE_INFINITY;
  #savedStarts = 1;
  #countedAt: Milliseconds = 0;
  #recentStarts = 0;
  #startsSinceTaken = 0;
  #takenAt: Milliseconds = 0;

  get startsPerSecondShare(): number {
    return this.#startsPerSecond;
  }

  changeStartsPerSecond(share: number, now: Milliseconds): void {
    if (share === this.#startsPerSecond) return;
    this.#refill(now);
    this.#startsPerSecond = share;
    this.#savedStarts = Math.min(this.#savedStarts, this.#mostSaved());
  }

  /** Whether a task may start now. */
  mayStart(now: Milliseconds): boolean {
    if (this.running >= this.concurrencyShare) return false;
    if (this.#startsPerSecond === Number.POSITIVE_INFINITY) return true;
    this.#refill(now);
    return this.#savedStarts >= 1;
  }

  taskStarted(): void {
    this.running += 1;
    this.#startsSinceTaken += 1;
    if (this.#startsPerSecond !== Number.POSITIVE_INFINITY)
      this.#savedStarts -= 1;
  }

  taskEnded(): void {
    this.running -= 1;
  }

  /** Starts a second of about the last second. */
  measureStartsPerSecond(now: Milliseconds): number {
    const elapsed = now - this.#takenAt;
    if (elapsed <= 0) return this.#recentStarts;
    const rate = (this.#startsSinceTaken * millisecondsPerSecond) / elapsed;
    const weight = Math.min(1, elapsed / millisecondsPerSecond);
    this.#recentStarts += (rate - this.#recentStarts) * weight;
    this.#startsSinceTaken = 0;
    this.#takenAt = now;
    return this.#recentStarts;
  }

  /** Time until the rate lets another task start; infinite when only an ending task helps. */
  timeUntilStart(now: Milliseconds): Milliseconds {
    if (this.running >= this.concurrencyShare) return Number.POSITIVE_INFINITY;
    if (this.mayStart(now)) return 0;
    if (this.#startsPerSecond <= 0) return Number.POSITIVE_INFINITY;
    const missing = 1 - this.#savedStarts;
    return (missing * millisecondsPerSecond) / this.#startsPerSecond;
  }

  /** Tasks that this share lets run at the same time when each takes `runMilliseconds`. */
  parallelism(runMilliseconds: Milliseconds): number {
    const byRate =
      (this.#startsPerSecond * runMilliseconds) / millisecondsPerSecond;
    return Math.min(this.concurrencyShare, byRate);
  }

  #refill(now: Milliseconds): void {
    if (this.#startsPerSecond === Number.POSITIVE_INFINITY) {
      this.#countedAt = now;
      return;
    }
    const earned =
      ((now - this.#countedAt) * this.#startsPerSecond) / millisecondsPerSecond;
    this.#countedAt = now;
    this.#savedStarts = Math.min(this.#mostSaved(), this.#savedStarts + earned);
  }

  #mostSaved(): number {
    const saved =
      (this.#startsPerSecond * savedStartsMilliseconds) / millisecondsPerSecond;
    return Math.max(1, saved);
  }
}
