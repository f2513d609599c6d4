/** Shows how far the event loop of this process is behind. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

const checkIntervalMilliseconds: Milliseconds = 100;

/** Records when the event loop last called a periodic timer. */
export class LoopWatch {
  readonly #timers: TimerService;
  readonly #timer: TimerSubscription;
  #checkedAt: Milliseconds;

  constructor(timers: TimerService) {
    this.#timers = timers;
    this.#checkedAt = timers.now();
    this.#timer = timers.every(checkIntervalMilliseconds, () => {
      this.#checkedAt = timers.now();
    });
  }

  /** Time since the last check; the event loop is behind when this is far above the interval of 100 ms. */
  measureSinceCheck(): Milliseconds {
    return this.#timers.now() - this.#checkedAt;
  }

  close(): void {
    this.#timer.cancel();
  }
}
