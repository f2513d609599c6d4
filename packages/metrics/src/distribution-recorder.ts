/** Records values in HDR histograms: quantiles of recent values, and count and sum since start. */
import { createRequire } from 'node:module';

import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { build, Histogram } from 'hdr-histogram-js';

const windowMilliseconds: Milliseconds = 60_000;
/** Histograms store integers, so values are recorded in thousandths of their unit. */
const countsPerUnit = 1_000;
const maximumValue = 3_600_000;
const significantDigits = 2;

interface HdrHistogramLibrary {
  readonly build: typeof build;
}

/** Summary of the recorded values. Sum, quantiles and maximum are in the unit of the quantity. */
export interface DistributionSummary {
  /** Number of values since the start of the process. */
  readonly count: number;
  /** Sum of the values since the start of the process. */
  readonly sum: number;
  /** Number of values that the quantiles cover. */
  readonly recentCount: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly maximum: number;
}

/** Recorder of the values of one quantity. */
export interface DistributionRecorder {
  /** Records a value; values out of range are clamped. */
  record(value: number): void;
  /** Quantiles cover the last one to two minutes. Older values are discarded only when a summary is taken. */
  summarize(): DistributionSummary;
}

/** Creates a recorder for values from 0 to 3,600,000, with quantiles accurate to one percent. */
export function createDistributionRecorder(
  timers: TimerService,
): DistributionRecorder {
  let current = createHistogram();
  let previous = createHistogram();
  let rotatedAt = timers.now();
  let count = 0;
  let sum = 0;

  const rotate = (): void => {
    const age = timers.now() - rotatedAt;
    if (age < windowMilliseconds) return;
    [previous, current] = [current, previous];
    current.reset();
    rotatedAt = timers.now();
  };

  return {
    record: value => {
      const bounded = Math.min(Math.max(value, 0), maximumValue);
      current.recordValue(Math.round(bounded * countsPerUnit));
      count += 1;
      sum += bounded;
    },
    summarize: () => {
      const recent = createHistogram();
      recent.add(previous);
      recent.add(current);
      rotate();
      const quantile = (percentile: number): number =>
        recent.getValueAtPercentile(percentile) / countsPerUnit;
      return {
        count,
        sum,
        recentCount: recent.totalCount,
        p50: quantile(50),
        p90: quantile(90),
        p99: quantile(99),
        p999: quantile(99.9),
        maximum: recent.maxValue / countsPerUnit,
      };
    },
  };
}

/** Loads the library on first use; processes without distributions never load it. */
function loadLibrary(): HdrHistogramLibrary {
  return createRequire(import.meta.url)(
    'hdr-histogram-js',
  ) as HdrHistogramLibrary;
}

function createHistogram(): Histogram {
  return loadLibrary().build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: maximumValue * countsPerUnit,
    numberOfSignificantValueDigits: significantDigits,
    useWebAssembly: false,
  });
}
