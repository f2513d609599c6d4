/**
 * Pauses placement after a suspension of this process. Callers may have disconnected meanwhile and
 * resubmitted their jobs to other dispatchers; the pause gives this process time to notice that.
 */
import type { Logger } from '@cranberryturn/logger';
import {
  type SuspensionWatch,
  type TimerService,
  watchSuspension,
} from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Connections closed by callers during a suspension are noticed within this time. */
export const settleMilliseconds: Milliseconds = 60;

/** Detects suspensions of this process and pauses the placement of one dispatcher. */
export class SuspensionPause {
  readonly #timers: TimerService;
  readonly #logger: Logger;
  readonly #watch: SuspensionWatch;
  #until: Milliseconds = 0;

  constructor(timers: TimerService, logger: Logger) {
    this.#timers = timers;
    this.#logger = logger;
    this.#watch = watchSuspension(timers);
  }

  /** Checks for a suspension since the last call. Whether placement is paused now. */
  isPaused(): boolean {
    const now = this.#timers.now();
    const suspended = this.#watch.check();
    if (suspended > 0) {
      this.#logger.warn(
        'this process was suspended, or its wall clock set forward',
        { milliseconds: Math.round(suspended) },
      );
      this.#until = now + settleMilliseconds;
    }
    return now < this.#until;
  }
}
