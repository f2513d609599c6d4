/** Holds starts back after a worker has refused one, and until it is known that this process was not suspended. */
import {
  type SuspensionWatch,
  type TimerService,
  watchSuspension,
} from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Dependencies of a pause. */
export interface StartPauseOptions {
  readonly timers: TimerService;
  /** Reads the clock of the worker, which shows whether this process was suspended. */
  readonly readClock: () => Promise<unknown>;
  /** Called at the end of a pause. */
  readonly ended: () => void;
}

/** The pauses of one executor. */
export class StartPause {
  readonly #options: StartPauseOptions;
  readonly #suspensionWatch: SuspensionWatch;
  #isVerifying = false;
  #pausedUntil: Milliseconds = 0;

  constructor(options: StartPauseOptions) {
    this.#options = options;
    this.#suspensionWatch = watchSuspension(options.timers);
  }

  isPaused(): boolean {
    if (this.#options.timers.now() < this.#pausedUntil) return true;
    if (this.#suspensionWatch.check() > 0) void this.#verifyNotSuspended();
    return this.#isVerifying;
  }

  /** Begins a pause, unless a longer one is active. */
  begin(pauseMilliseconds: Milliseconds): void {
    const { timers, ended } = this.#options;
    const until = timers.now() + pauseMilliseconds;
    if (until <= this.#pausedUntil) return;
    this.#pausedUntil = until;
    timers.after(pauseMilliseconds, ended);
  }

  /** The wall clock jumped. */
  async #verifyNotSuspended(): Promise<void> {
    this.#isVerifying = true;
    await this.#options.readClock();
    this.#isVerifying = false;
    this.#options.ended();
  }
}
