/** A signal that tasks wait for. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** A rest below the precision of the clock would be waited for without end. */
const minimumWaitMilliseconds: Milliseconds = 1;

/** Wakes every task that waits for it. */
export class Signal {
  readonly #timers: TimerService;
  #waiting = new Set<() => void>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Wakes every task that waits now. */
  notify(): void {
    const waiting = this.#waiting;
    if (waiting.size === 0) return;
    this.#waiting = new Set();
    for (const wake of waiting) wake();
  }

  /** Resolves at the next notification, or after `limit` milliseconds when one is given. */
  wait(limit?: Milliseconds): Promise<void> {
    return new Promise(resolve => {
      if (limit === undefined) {
        this.#waiting.add(resolve);
        return;
      }
      const wake = (): void => {
        timer.cancel();
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = this.#timers.after(
        Math.max(limit, minimumWaitMilliseconds),
        wake,
      );
      this.#waiting.add(wake);
    });
  }

  /** Waits until `condition` holds; false when it did not within `limit` milliseconds. */
  async waitUntil(
    condition: () => boolean,
    limit: Milliseconds,
  ): Promise<boolean> {
    const end = this.#timers.now() + limit;
    while (!condition()) {
      const remaining = end - this.#timers.now();
      if (remaining <= 0) return false;
      await this.wait(remaining);
    }
    return true;
  }
}
