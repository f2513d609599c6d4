/** Simulates the delay with which a platform reports the processors that a worker uses. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, WorkerUsage } from '@cranberryturn/types';

interface UsageChange {
  readonly at: Milliseconds;
  readonly processors: number;
}

const lagMilliseconds: Milliseconds = 2_000;

/** Tracks the processors in use and reports their number two seconds later. */
export class LaggedUsage {
  readonly #timers: TimerService;
  readonly #changes: UsageChange[] = [];
  #processors = 0;

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Processors in use now. */
  get processors(): number {
    return this.#processors;
  }

  /** Adds to the processors in use; a negative number releases them. */
  addProcessors(processors: number): void {
    this.#processors += processors;
    const at = this.#timers.now();
    this.#changes.push({ at, processors: this.#processors });
  }

  /** Usage as it was one lag ago; undefined while no change is that old. */
  readReported(): WorkerUsage | undefined {
    const measuredAt = this.#timers.now() - lagMilliseconds;
    while ((this.#changes[1]?.at ?? Infinity) <= measuredAt)
      this.#changes.shift();
    const [oldest] = this.#changes;
    if (oldest === undefined || oldest.at > measuredAt) return undefined;
    return {
      ageMilliseconds: lagMilliseconds,
      processors: oldest.processors,
      memoryMebibytes: 0,
      accelerators: 0,
    };
  }
}
