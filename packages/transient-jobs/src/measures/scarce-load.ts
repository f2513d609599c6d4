/** Load of the comparison: three queues, and a burst of the longest kind while a third of the workers is out of service. */
import type { RandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';

import { getItem } from '../fakes/get-item.js';

/** One kind of job. */
export interface JobKind {
  readonly queue: string;
  readonly priority: number;
  /** Widths of the jobs, each equally frequent. */
  readonly widths: readonly number[];
  readonly milliseconds: Milliseconds;
  readonly jobsPerSecond: number;
}

/** Kinds of the design page on hard load; the mean of the widths is the width named there. */
export const jobKinds: readonly JobKind[] = [
  {
    queue: 'lookup',
    priority: 0,
    widths: [4, 8, 12],
    milliseconds: 86,
    jobsPerSecond: 144,
  },
  {
    queue: 'summary',
    priority: 1,
    widths: [1, 2, 3],
    milliseconds: 286,
    jobsPerSecond: 420,
  },
  {
    queue: 'status',
    priority: 2,
    widths: [2, 4, 6],
    milliseconds: 1_286,
    jobsPerSecond: 26,
  },
];

/** Factor by which the longest kind arrives more often during the burst. */
export const defaultBurstFactor = 2.3;
/** Beginning of the burst. */
export const burstStart: Milliseconds = 3_000;
/** End of the burst. */
export const burstEnd: Milliseconds = 9_000;
/** End of the arrivals. */
export const loadEnd: Milliseconds = 12_000;

const longestPriority = 2;
/** Declared run times are up to this share off. */
const declarationError = 0.4;
/** Run times vary by this share between the tasks of a job. */
const runTimeSpread = 0.15;

/** A job that arrives. */
export interface Arrival {
  readonly jobId: string;
  readonly at: Milliseconds;
  readonly kind: JobKind;
  readonly width: number;
  readonly declaredMilliseconds: Milliseconds;
}

/** Plans the arrivals of a load that is `scale` times the one of the page, with a burst of the longest kind. */
export function planArrivals(
  random: RandomSource,
  scale: number,
  burstFactor: number,
): readonly Arrival[] {
  return jobKinds
    .flatMap(kind => planKind(kind, random, scale, burstFactor))
    .toSorted((left, right) => left.at - right.at);
}

function planKind(
  kind: JobKind,
  random: RandomSource,
  scale: number,
  burstFactor: number,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let at = 0;
  for (;;) {
    const isBurst =
      kind.priority === longestPriority && at >= burstStart && at < burstEnd;
    const perMillisecond =
      (kind.jobsPerSecond * scale * (isBurst ? burstFactor : 1)) / 1_000;
    at += -Math.log(1 - random.fraction()) / perMillisecond;
    if (at >= loadEnd) return arrivals;
    const error = (random.fraction() * 2 - 1) * declarationError;
    arrivals.push({
      jobId: `${kind.queue}-${String(arrivals.length)}`,
      at,
      kind,
      width: getItem(kind.widths, random.below(kind.widths.length)),
      declaredMilliseconds: Math.round(kind.milliseconds * (1 + error)),
    });
  }
}

/** Draws the run time of one task on a worker of a speed. */
export function drawRunTime(
  { milliseconds }: JobKind,
  speed: number,
  random: RandomSource,
): Milliseconds {
  const spread = (random.fraction() * 2 - 1) * runTimeSpread;
  return (milliseconds * (1 + spread)) / speed;
}

/** Response time objective of a kind. */
export function computeKindObjective({ milliseconds }: JobKind): Milliseconds {
  return 1.6 * milliseconds + 60;
}
