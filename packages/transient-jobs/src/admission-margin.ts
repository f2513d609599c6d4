/**
 * Learns how much earlier than its objective a job must be expected to end. Expected waits are too
 * short under overload: many dispatchers decide on reports of the same age, and tasks that arrive later
 * may be more urgent. Jobs that end late take the workers from jobs that would have ended in time.
 */
import type { QueueName } from '@cranberryturn/types';

/** The two steps balance where about one completed job in nine is late. */
const lateStep = 0.03;
const inTimeStep = 0.004;
const minimumFactor = 0.65;
const maximumFactor = 1;

/** The margins of all queues at one dispatcher. */
export class AdmissionMargin {
  readonly #factors = new Map<QueueName, number>();

  /** Part of the objective within which a job must be expected to end, from 0 to 1. */
  getFactor(queue: QueueName): number {
    return this.#factors.get(queue) ?? maximumFactor;
  }

  /** Records whether a job that completed met its objective. */
  recordEnd(queue: QueueName, wasInTime: boolean): void {
    const change = wasInTime ? inTimeStep : -lateStep;
    const factor = this.getFactor(queue) + change;
    this.#factors.set(
      queue,
      Math.min(maximumFactor, Math.max(minimumFactor, factor)),
    );
  }
}
