/**
 * Work started on one worker in the recent past, by priority. Shows dispatchers how much of the worker
 * more urgent tasks take, which a less urgent one has to let pass however early it arrived.
 */
import type { Milliseconds, RunOrder } from '@cranberryturn/types';

import { reportedPriorities } from './waiting-runs.js';

/** Time in which the weight of a start falls to 1/e. */
const memoryMilliseconds: Milliseconds = 1_000;

/** Rates of started work. */
export class StartedWork {
  readonly #rates = new Array<number>(reportedPriorities).fill(0);
  #decayedAt: Milliseconds = 0;

  recordStart(
    { priority, need, estimatedMilliseconds }: RunOrder,
    now: Milliseconds,
  ): void {
    this.#decay(now);
    const index = Math.min(priority, reportedPriorities - 1);
    const work = need.processors * estimatedMilliseconds;
    this.#rates[index] = (this.#rates[index] ?? 0) + work / memoryMilliseconds;
  }

  /** Processors that the started work needs on average, by priority. */
  measureRates(now: Milliseconds): readonly number[] {
    this.#decay(now);
    return this.#rates.map(rate => Math.round(rate * 10) / 10);
  }

  #decay(now: Milliseconds): void {
    const factor = Math.exp((this.#decayedAt - now) / memoryMilliseconds);
    this.#decayedAt = now;
    for (let index = 0; index < this.#rates.length; index += 1) {
      this.#rates[index] = (this.#rates[index] ?? 0) * factor;
    }
  }
}
