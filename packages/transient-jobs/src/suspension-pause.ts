/**
 * Pauses placing after this process was suspended: callers may have left meanwhile, and other
 * dispatchers may run their jobs. The pause lasts until that would have been noticed.
 */
import type { Logger } from '@cranberryturn/logger';
import {
  type SuspensionWatch,
  type TimerService,
  watchSuspension,
} from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Connections that callers closed meanwhile are noticed within this time. */
export const settleTime: Milliseconds = 60;

/** The pause of one dispatcher. */
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

  isPaused(): boolean {
    const now = this.#timers.now();
    const suspended = this.#watch.check();
    if (suspended > 0) {
      this.#logger.warn(
        'this process was suspended, or its wall clock set forward',
        { milliseconds: Math.round(suspended) },
      );
      this.#until = now + settleTime;
    }
    return now < this.#until;
  }
}
