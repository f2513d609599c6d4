/** Fencing token of one sidecar process; must exceed the tokens of all earlier processes of this sidecar. */
import type { TimerService } from '@cranberryturn/timers';

/** First increment above a rejected token, after the wall clock was set back; doubles with each rejection. */
const initialStepMilliseconds = 10_000;

/** Holds the token: the wall clock at the start, raised when the worker has seen a higher token. */
export class Fencing {
  #token: number;
  #step = initialStepMilliseconds;

  constructor(timers: TimerService) {
    this.#token = Math.floor(timers.wallClock());
  }

  get token(): number {
    return this.#token;
  }

  /** Raises the token for a new incarnation of the worker. */
  advance(): void {
    this.#token += 1;
  }

  /** Raises the token after the worker rejected `refused`: the clock of an earlier process was ahead. */
  raiseAbove(refused: number): void {
    if (this.#token > refused) return;
    this.#token = refused + this.#step;
    this.#step *= 2;
  }
}
