/** Learns how long the tasks of each queue really take, as callers declare it far off. */
import type { Milliseconds, QueueName } from '@cranberryturn/types';

const newestWeight = 0.03;
const firstWeight = 0.3;
const fullWeightAfter = 10;

interface LearnedRatio {
  /** Natural logarithm of actual time over declared time. */
  logarithm: number;
  /** Mean run time, for tasks that declare nothing. */
  mean: Milliseconds;
  count: number;
}

const unknownMilliseconds: Milliseconds = 500;

/** Estimates of all queues at one dispatcher. */
export class RunTimeEstimates {
  readonly #queues = new Map<QueueName, LearnedRatio>();

  /** Expected run time on a worker of ordinary speed. */
  estimate(queue: QueueName, declared: Milliseconds): Milliseconds {
    const learned = this.#queues.get(queue);
    if (declared <= 0) return learned?.mean ?? unknownMilliseconds;
    return declared * Math.exp(learned?.logarithm ?? 0);
  }

  /** Takes in a task that was done; `speed` is that of its worker. */
  learn(
    queue: QueueName,
    declared: Milliseconds,
    actual: Milliseconds,
    speed: number,
  ): void {
    const ordinary = Math.max(1, actual * speed);
    const learned = this.#queues.get(queue) ?? {
      logarithm: 0,
      mean: ordinary,
      count: 0,
    };
    this.#queues.set(queue, learned);
    learned.count += 1;
    const weight = learned.count < fullWeightAfter ? firstWeight : newestWeight;
    learned.mean += (ordinary - learned.mean) * weight;
    if (declared <= 0) return;
    const seen = Math.log(ordinary / declared);
    learned.logarithm += (seen - learned.logarithm) * weight;
  }
}
