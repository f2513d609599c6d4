/** Measures the work started by priority, as a rate over the last second. */
import type { Milliseconds } from '@cranberryturn/types';

import { reportedPriorities } from './waiting-runs.js';

const bucketMilliseconds: Milliseconds = 100;
const bucketCount = 10;
const windowMilliseconds = bucketMilliseconds * bucketCount;
/** Rates are reported in tenths of a processor, which keeps the report small. */
const partsPerProcessor = 10;

/** The work started by one worker, in buckets of 100 ms. */
export class StartedWork {
  readonly #buckets = Array.from({ length: bucketCount }, () =>
    new Array<number>(reportedPriorities).fill(0),
  );
  #latestBucket = 0;

  /** Adds started work, in processor-milliseconds. */
  add(priority: number, work: number, now: Milliseconds): void {
    this.#clearExpired(now);
    const bucket = this.#buckets[this.#latestBucket % bucketCount];
    const index = Math.min(priority, reportedPriorities - 1);
    // Dispatchers reject reports with negative rates, and the check of an order lets its estimate be negative.
    const counted = Math.max(0, work);
    if (bucket !== undefined) bucket[index] = (bucket[index] ?? 0) + counted;
  }

  /** Started work by priority, in processor-milliseconds per millisecond. */
  measureRates(now: Milliseconds): readonly number[] {
    this.#clearExpired(now);
    return Array.from({ length: reportedPriorities }, (_, priority) => {
      const work = this.#buckets.reduce(
        (sum, bucket) => sum + (bucket[priority] ?? 0),
        0,
      );
      return (
        Math.round((work / windowMilliseconds) * partsPerProcessor) /
        partsPerProcessor
      );
    });
  }

  #clearExpired(now: Milliseconds): void {
    const bucket = Math.floor(now / bucketMilliseconds);
    const passed = Math.min(bucketCount, bucket - this.#latestBucket);
    for (let index = 0; index < passed; index += 1) {
      this.#buckets[(bucket - index) % bucketCount]?.fill(0);
    }
    this.#latestBucket = Math.max(this.#latestBucket, bucket);
  }
}
