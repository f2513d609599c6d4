/**
 * Learns how long the tasks of each queue really take. Answers a load in which callers declare run times
 * that are far off: what a job declares is weighed against what its queue usually takes, each by how
 * far it has been off.
 */
import type { Milliseconds, QueueName } from '@cranberryturn/types';

const newestWeight = 0.03;
const firstWeight = 0.3;
const fullWeightAfter = 10;
/** Below this number of tasks the spread of a queue is not known; what a job declares counts alone. */
const spreadKnownAfter = 40;
/** Jobs that have all been alike may be followed by others: run times are taken to differ by a fifth at least. */
const leastVariance = 0.2 ** 2;
const unknownMilliseconds: Milliseconds = 500;

/** Mean and variance of natural logarithms, of which the newest count most. */
interface Moments {
  mean: number;
  variance: number;
}

interface LearnedQueue {
  /** Of the actual time. */
  readonly actual: Moments;
  /** Of the actual time over the declared one. */
  readonly ratio: Moments;
  count: number;
}

/** Estimates of all queues at one dispatcher. */
export class RunTimeEstimates {
  readonly #queues = new Map<QueueName, LearnedQueue>();

  /** Expected run time on a worker of ordinary speed. */
  estimate(queue: QueueName, declared: Milliseconds): Milliseconds {
    const learned = this.#queues.get(queue);
    if (learned === undefined) {
      return declared > 0 ? declared : unknownMilliseconds;
    }
    const { actual, ratio } = learned;
    if (declared <= 0) return Math.exp(actual.mean);
    const corrected = Math.log(declared) + ratio.mean;
    const trust = computeTrust(learned);
    return Math.exp(actual.mean + (corrected - actual.mean) * trust);
  }

  /** Takes in a task that was done; `speed` is that of its worker. */
  learn(
    queue: QueueName,
    declared: Milliseconds,
    measured: Milliseconds,
    speed: number,
  ): void {
    const actual = Math.log(Math.max(1, measured * speed));
    const ratio = declared > 0 ? actual - Math.log(declared) : undefined;
    const learned = this.#queues.get(queue) ?? {
      actual: { mean: actual, variance: 0 },
      ratio: { mean: ratio ?? 0, variance: 0 },
      count: 0,
    };
    this.#queues.set(queue, learned);
    learned.count += 1;
    const weight = learned.count < fullWeightAfter ? firstWeight : newestWeight;
    takeIn(learned.actual, actual, weight);
    if (ratio !== undefined) takeIn(learned.ratio, ratio, weight);
  }
}

/** Part of the declared time in an estimate: 1 where it is never off, less where run times hardly differ. */
function computeTrust({ actual, ratio, count }: LearnedQueue): number {
  if (count < spreadKnownAfter) return 1;
  const spread = Math.max(leastVariance, actual.variance);
  return spread / (spread + ratio.variance);
}

function takeIn(moments: Moments, value: number, weight: number): void {
  const deviation = value - moments.mean;
  moments.mean += deviation * weight;
  moments.variance =
    (1 - weight) * (moments.variance + weight * deviation * deviation);
}
