/** Notification primitive for asynchronous loops. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** A shorter wait may end before its deadline because of the clock resolution, and callers would loop forever. */
const minimumWaitMilliseconds: Milliseconds = 1;

/** Condition variable: wakes all current waiters. */
export class Signal {
  readonly #timers: TimerService;
  #waiting = new Set<() => void>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Wakes all current waiters. */
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

  /** Waits for notifications until `condition` holds. Resolves with false after `limit` milliseconds. */
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
