/**
 * Learns which part of its slack a job may be expected to wait. Expected waits are too short under
 * overload: many dispatchers decide on reports of the same age, and tasks that arrive later may be more
 * urgent. Jobs that end late take the workers from jobs that would have ended in time.
 */
import type { QueueName } from '@cranberryturn/types';

/** The two steps balance where about one completed job in six is late. */
const lateStep = 0.06;
const inTimeStep = 0.012;
const minimumWaitShare = 0.05;
const maximumWaitShare = 1;

/** The margins of all queues at one dispatcher. */
export class AdmissionMargin {
  readonly #waitShares = new Map<QueueName, number>();

  /** Part of the slack, from 0 to 1, that a job of the queue may be expected to wait. */
  getWaitShare(queue: QueueName): number {
    return this.#waitShares.get(queue) ?? maximumWaitShare;
  }

  /** Records whether a completed job met its objective. */
  recordEnd(queue: QueueName, wasInTime: boolean): void {
    const change = wasInTime ? inTimeStep : -lateStep;
    const share = this.getWaitShare(queue) + change;
    this.#waitShares.set(
      queue,
      Math.min(maximumWaitShare, Math.max(minimumWaitShare, share)),
    );
  }
}
