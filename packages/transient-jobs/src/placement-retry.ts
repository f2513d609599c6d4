/** Tries again later to place the tasks that wait for a worker. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** At most one pending attempt. */
export class PlacementRetry {
  readonly #timers: TimerService;
  readonly #retry: () => void;
  #timer: TimerSubscription | undefined;

  constructor(timers: TimerService, retry: () => void) {
    this.#timers = timers;
    this.#retry = retry;
  }

  /** Schedules an attempt, unless one is pending. */
  schedule(delayMilliseconds: Milliseconds): void {
    this.#timer ??= this.#timers.after(delayMilliseconds, () => {
      this.#timer = undefined;
      this.#retry();
    });
  }

  cancel(): void {
    this.#timer?.cancel();
  }
}
