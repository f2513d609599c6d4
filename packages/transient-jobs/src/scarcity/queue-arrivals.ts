/** Counts the jobs that arrive at this dispatcher and those that it admits, by queue, over the last seconds. */
import type { Milliseconds } from '@cranberryturn/types';

/** Time after which a count has fallen to about a third. */
const decayMilliseconds: Milliseconds = 2_000;
/** Below this number of jobs a share says little, and counts as 1. */
const minimumJobs = 4;

/** Shares of one queue that were admitted lately, from 0 to 1. */
export interface QueueShares {
  readonly share: number;
  /** Share of the jobs that are wider than the mean of the queue. */
  readonly wideShare: number;
}

/** The arrivals of one queue. */
export class QueueArrivals {
  #countedAt: Milliseconds = 0;
  #offered = 0;
  #admitted = 0;
  #offeredWide = 0;
  #admittedWide = 0;
  #tasks = 0;

  /** Whether a job has more tasks than the jobs of the queue have on average. */
  isWide(tasks: number): boolean {
    return this.#offered > 0 && tasks > this.#tasks / this.#offered;
  }

  record(tasks: number, isAdmitted: boolean, now: Milliseconds): void {
    const isWide = this.isWide(tasks);
    this.#decay(now);
    this.#offered += 1;
    this.#tasks += tasks;
    if (isAdmitted) this.#admitted += 1;
    if (!isWide) return;
    this.#offeredWide += 1;
    if (isAdmitted) this.#admittedWide += 1;
  }

  readShares(now: Milliseconds): QueueShares {
    this.#decay(now);
    return {
      share: computeShare(this.#admitted, this.#offered),
      wideShare: computeShare(this.#admittedWide, this.#offeredWide),
    };
  }

  #decay(now: Milliseconds): void {
    if (now === this.#countedAt) return;
    const factor = Math.exp((this.#countedAt - now) / decayMilliseconds);
    this.#countedAt = now;
    this.#offered *= factor;
    this.#admitted *= factor;
    this.#offeredWide *= factor;
    this.#admittedWide *= factor;
    this.#tasks *= factor;
  }
}

function computeShare(admitted: number, offered: number): number {
  return offered < minimumJobs ? 1 : admitted / offered;
}
