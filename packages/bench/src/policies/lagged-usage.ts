/** The processors that a fake worker uses, as its platform tells them some time later. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, WorkerUsage } from '@cranberryturn/types';

interface UsageChange {
  readonly at: Milliseconds;
  readonly processors: number;
}

const lagMilliseconds: Milliseconds = 2_000;

/** Usage that is reported with a lag. */
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

  addProcessors(processors: number): void {
    this.#processors += processors;
    const at = this.#timers.now();
    this.#changes.push({ at, processors: this.#processors });
  }

  /** Usage of the time of the lag ago; undefined before that. */
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
