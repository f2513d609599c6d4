/** Shows how far the event loop of this process was behind lately. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

const checkIntervalMilliseconds: Milliseconds = 100;
/** Checks for which the largest gap is kept, about two seconds. */
const keptChecks = 20;

/** Records the gaps between the calls of a periodic timer. */
export class LoopWatch {
  readonly #timers: TimerService;
  readonly #timer: TimerSubscription;
  #checkedAt: Milliseconds;
  #gaps: Milliseconds[] = [];

  constructor(timers: TimerService) {
    this.#timers = timers;
    this.#checkedAt = timers.now();
    this.#timer = timers.every(checkIntervalMilliseconds, () => {
      const now = timers.now();
      this.#gaps = [...this.#gaps.slice(1 - keptChecks), now - this.#checkedAt];
      this.#checkedAt = now;
    });
  }

  /** Largest gap of the last two seconds; the event loop was behind when it is far above the interval of 100 ms. */
  measureLargestGap(): Milliseconds {
    const currentGap = this.#timers.now() - this.#checkedAt;
    return Math.max(currentGap, ...this.#gaps);
  }

  close(): void {
    this.#timer.cancel();
  }
}
