/** The fencing token of one sidecar process: higher than that of every earlier one. */
import type { TimerService } from '@cranberryturn/timers';

/** Wall clocks that step back are overtaken by this in the first tries; it doubles with each. */
const firstStep = 10_000;

/** A token that starts at the wall clock and is raised when the worker has seen a higher one. */
export class Fencing {
  #token: number;
  #step = firstStep;

  constructor(timers: TimerService) {
    this.#token = Math.floor(timers.wallClock());
  }

  get token(): number {
    return this.#token;
  }

  /** The worker has seen a token above `refused`: an earlier process had a clock that was ahead. */
  raiseAbove(refused: number): void {
    if (this.#token > refused) return;
    this.#token = refused + this.#step;
    this.#step *= 2;
  }
}
