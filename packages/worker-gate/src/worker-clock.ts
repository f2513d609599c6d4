/** Estimates the clock of a worker, and notices when this process was suspended. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Clocks of workers may be slow by this part. */
const largestDrift = 0.02;
/** Above the time that an answer may lie unread beside a busy process. */
const leastSuspension: Milliseconds = 250;

/** The clock of one life of a worker, read from its answers. */
export class WorkerClock {
  readonly #timers: TimerService;
  #clock: Milliseconds | undefined;
  #readAt: Milliseconds = 0;

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /**
   * Takes in the clock of an answer to an order that was sent at `sentAt`.
   * True when the clock went on far longer than that of this process, which was
   * therefore suspended.
   */
  observe(clock: Milliseconds, sentAt: Milliseconds): boolean {
    const now = this.#timers.now();
    const known = this.#clock;
    const since = this.#readAt;
    if (known !== undefined && clock < known) return false;
    this.#clock = clock;
    this.#readAt = now;
    if (known === undefined) return false;
    const travelled = now - sentAt;
    return clock - known > now - since + travelled + leastSuspension;
  }

  /** The time that the worker's clock shows now at the most. */
  estimate(): Milliseconds {
    const clock = this.#clock ?? 0;
    return clock + (this.#timers.now() - this.#readAt);
  }
}

/** The longest time on the clock of this process that a lease of a worker can last. */
export function boundLease(lease: Milliseconds): Milliseconds {
  return lease * (1 + 2 * largestDrift);
}
