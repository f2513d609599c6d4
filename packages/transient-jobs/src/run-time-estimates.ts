/**
 * Estimates run times per queue from past runs, since callers often declare run times that are far off.
 * An estimate combines the declared run time and the usual run time of the queue, weighted by how
 * accurate each has been.
 */
import type { Milliseconds, QueueName } from '@cranberryturn/types';

const sampleWeight = 0.03;
const initialSampleWeight = 0.3;
const initialSampleCount = 10;
/** Below this number of runs the variance of a queue is unknown, and only the declared run time counts. */
const minimumCountForVariance = 40;
/** Run times are assumed to vary by at least a fifth: a queue with uniform jobs so far may still receive others. */
const minimumVariance = 0.2 ** 2;
const defaultRunMilliseconds: Milliseconds = 500;

/** Exponentially weighted mean and variance of natural logarithms. */
interface Moments {
  mean: number;
  variance: number;
}

interface QueueStatistics {
  /** Moments of the measured run time. */
  readonly actual: Moments;
  /** Moments of the measured run time divided by the declared one. */
  readonly ratio: Moments;
  count: number;
}

/** Run time estimates of all queues at one dispatcher. */
export class RunTimeEstimates {
  readonly #queues = new Map<QueueName, QueueStatistics>();

  /** Expected run time on a worker of average speed; `declared` is 0 when the job declares none. */
  estimateRunTime(
    queue: QueueName,
    declaredMilliseconds: Milliseconds,
  ): Milliseconds {
    const statistics = this.#queues.get(queue);
    if (statistics === undefined) {
      return declaredMilliseconds > 0
        ? declaredMilliseconds
        : defaultRunMilliseconds;
    }
    const { actual, ratio } = statistics;
    if (declaredMilliseconds <= 0) return Math.exp(actual.mean);
    const correctedLogarithm = Math.log(declaredMilliseconds) + ratio.mean;
    const declaredWeight = computeDeclaredWeight(statistics);
    return Math.exp(
      actual.mean + (correctedLogarithm - actual.mean) * declaredWeight,
    );
  }

  /** Records the measured run time of a successful run; `speed` is the relative speed of its worker. */
  recordRunTime(
    queue: QueueName,
    declaredMilliseconds: Milliseconds,
    measuredMilliseconds: Milliseconds,
    speed: number,
  ): void {
    const actual = Math.log(Math.max(1, measuredMilliseconds * speed));
    const ratio =
      declaredMilliseconds > 0
        ? actual - Math.log(declaredMilliseconds)
        : undefined;
    const statistics = this.#queues.get(queue) ?? {
      actual: { mean: actual, variance: 0 },
      ratio: { mean: ratio ?? 0, variance: 0 },
      count: 0,
    };
    this.#queues.set(queue, statistics);
    statistics.count += 1;
    const weight =
      statistics.count < initialSampleCount
        ? initialSampleWeight
        : sampleWeight;
    updateMoments(statistics.actual, actual, weight);
    if (ratio !== undefined) updateMoments(statistics.ratio, ratio, weight);
  }
}

/** Weight of the declared run time, from 0 to 1: 1 where declarations are accurate, less where run times hardly vary. */
function computeDeclaredWeight({
  actual,
  ratio,
  count,
}: QueueStatistics): number {
  if (count < minimumCountForVariance) return 1;
  const variance = Math.max(minimumVariance, actual.variance);
  return variance / (variance + ratio.variance);
}

function updateMoments(moments: Moments, value: number, weight: number): void {
  const deviation = value - moments.mean;
  moments.mean += deviation * weight;
  moments.variance =
    (1 - weight) * (moments.variance + weight * deviation * deviation);
}
