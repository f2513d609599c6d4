/** Estimates the clock of a worker, and detects suspensions of this process. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Maximum relative drift by which the clock of a worker is slow. */
const maximumDrift = 0.02;
/** Minimum suspension that is detected; a reply to a busy process may stay unread for nearly this long. */
const minimumSuspensionMilliseconds: Milliseconds = 250;

/** The clock of one incarnation of a worker, read from its replies. */
export class WorkerClock {
  readonly #timers: TimerService;
  #lastReading: Milliseconds | undefined;
  #readAt: Milliseconds = 0;

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /**
   * Records the clock in the reply to an order sent at `sentAt`. True when the clock of the worker has
   * advanced far more than the clock of this process, which must have been suspended.
   */
  observe(clock: Milliseconds, sentAt: Milliseconds): boolean {
    const now = this.#timers.now();
    const previousReading = this.#lastReading;
    const previousReadAt = this.#readAt;
    if (previousReading !== undefined && clock < previousReading) return false;
    this.#lastReading = clock;
    this.#readAt = now;
    if (previousReading === undefined) return false;
    const roundTripMilliseconds = now - sentAt;
    return (
      clock - previousReading >
      now -
        previousReadAt +
        roundTripMilliseconds +
        minimumSuspensionMilliseconds
    );
  }

  /** Latest time that the clock of the worker can show now. */
  estimateNow(): Milliseconds {
    const clock = this.#lastReading ?? 0;
    return clock + (this.#timers.now() - this.#readAt);
  }
}

/** Maximum duration of a worker's lease, measured on the clock of this process. */
export function computeMaximumLease(lease: Milliseconds): Milliseconds {
  return lease * (1 + 2 * maximumDrift);
}
