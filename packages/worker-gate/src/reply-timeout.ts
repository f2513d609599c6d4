/**
 * Learns how long to wait for the reply of a worker to an order. A reply that is lost delays its task by
 * the whole timeout, and the shortest tasks may take 100 ms more than they run.
 */
import type { Milliseconds } from '@cranberryturn/types';

/** Timeout before enough replies were seen, and the longest one. */
export const maximumReplyTimeout: Milliseconds = 250;
/** Replies within one host take a few milliseconds; the rest is for a sidecar that waits for its processor. */
const minimumReplyTimeout: Milliseconds = 60;
const minimumSamples = 20;
const sampleWeight = 0.1;
/** Mean deviations above the mean, so that replies of a busy host are rarely given up. */
const deviationFactor = 8;

/** The reply timeout of one worker, from the mean and the mean deviation of its reply times. */
export class ReplyTimeout {
  #mean: Milliseconds = 0;
  #deviation: Milliseconds = 0;
  #samples = 0;
  /** Orders without a reply since the last recorded reply. */
  #missing = 0;

  /** Records the reply time of an order that the worker replies to at once. */
  observe(replyTime: Milliseconds): void {
    this.#samples += 1;
    this.#missing = 0;
    if (this.#samples === 1) {
      this.#mean = replyTime;
      this.#deviation = replyTime / 2;
      return;
    }
    const error = replyTime - this.#mean;
    this.#mean += error * sampleWeight;
    this.#deviation += (Math.abs(error) - this.#deviation) * sampleWeight;
  }

  /** Records an order without a reply. */
  observeMissing(): void {
    this.#missing += 1;
  }

  /**
   * A single missing reply may be lost. Several in a row may be later than the timeout and would never be
   * learned from, so each further one doubles it.
   */
  current(): Milliseconds {
    if (this.#samples < minimumSamples) return maximumReplyTimeout;
    const learned = this.#mean + deviationFactor * this.#deviation;
    const factor = 2 ** Math.max(0, this.#missing - 1);
    return Math.round(
      Math.min(
        maximumReplyTimeout,
        Math.max(minimumReplyTimeout, learned) * factor,
      ),
    );
  }
}
