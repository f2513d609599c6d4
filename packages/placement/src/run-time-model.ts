/** Model of the run times of a service, which corrects the declared run times. */
import type { Milliseconds } from '@cranberryturn/types';
import { build, type Histogram } from 'hdr-histogram-js';

/** Run times of one service. */
export interface RunTimeModel {
  record(runMilliseconds: Milliseconds, declared?: Milliseconds): void;
  /** Returns the expected run time. Measurements take precedence over the declaration. */
  estimate(declared?: Milliseconds): Milliseconds;
  /** Returns a percentile of the run times; undefined until enough tasks were recorded. */
  findPercentile(percentile: 10 | 50 | 99): Milliseconds | undefined;
}

interface MeasuredMean {
  samples: number;
  mean: Milliseconds;
  /** Mean of the declared run times. */
  declared: Milliseconds;
}

interface RunTimePercentiles {
  10: Milliseconds;
  50: Milliseconds;
  99: Milliseconds;
}

/** Expected run time before anything is measured or declared. */
const defaultRunMilliseconds: Milliseconds = 200;
const maximumRunMilliseconds: Milliseconds = 3_600_000;
const minimumSamples = 8;
const minimumPercentileSamples = 50;
/** Samples after which the newer histogram replaces the older one. */
const samplesPerWindow = 2_048;
const samplesBetweenRefreshes = 64;
/** Weight of a new sample in a mean of more than 128 samples. */
const minimumSampleWeight = 1 / 128;
/** Declared run times are grouped in classes that span two doublings each. */
const doublingsPerClass = 2;

/** Creates an empty model, whose percentiles cover the last 2,048 to 4,096 tasks. */
export function createRunTimeModel(): RunTimeModel {
  let current = createHistogram();
  let previous = createHistogram();
  let percentiles: RunTimePercentiles | undefined;
  const overall: MeasuredMean = { samples: 0, mean: 0, declared: 0 };
  const classes = new Map<number, MeasuredMean>();

  const refreshPercentiles = (): void => {
    const combined = createHistogram();
    combined.add(previous);
    combined.add(current);
    percentiles = {
      10: combined.getValueAtPercentile(10),
      50: combined.getValueAtPercentile(50),
      99: combined.getValueAtPercentile(99),
    };
    if (current.totalCount < samplesPerWindow) return;
    [previous, current] = [current, previous];
    current.reset();
  };

  return {
    record: (runMilliseconds, declared) => {
      const boundedMilliseconds = Math.min(
        Math.max(runMilliseconds, 1),
        maximumRunMilliseconds,
      );
      current.recordValue(Math.round(boundedMilliseconds));
      updateMean(overall, boundedMilliseconds, 0);
      if (declared !== undefined)
        updateMean(
          findOrCreateClass(classes, declared),
          boundedMilliseconds,
          declared,
        );
      const isRefreshDue = overall.samples % samplesBetweenRefreshes === 0;
      if (isRefreshDue || overall.samples === minimumPercentileSamples)
        refreshPercentiles();
    },
    estimate: declared => {
      if (declared !== undefined) {
        const measured = classes.get(computeClass(declared));
        if (measured !== undefined && measured.samples >= minimumSamples)
          return scaleToDeclaration(measured, declared);
      }
      if (overall.samples >= minimumSamples) return overall.mean;
      return declared ?? defaultRunMilliseconds;
    },
    findPercentile: percentile =>
      overall.samples < minimumPercentileSamples
        ? undefined
        : percentiles?.[percentile],
  };
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: maximumRunMilliseconds,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

function updateMean(
  measured: MeasuredMean,
  value: Milliseconds,
  declared: Milliseconds,
): void {
  measured.samples += 1;
  const weight = Math.max(1 / measured.samples, minimumSampleWeight);
  measured.mean += (value - measured.mean) * weight;
  measured.declared += (declared - measured.declared) * weight;
}

/** Scales the mean of a class to one declaration of the class. */
function scaleToDeclaration(
  measured: MeasuredMean,
  declared: Milliseconds,
): Milliseconds {
  if (measured.declared <= 0) return measured.mean;
  return (measured.mean * declared) / measured.declared;
}

function computeClass(declared: Milliseconds): number {
  return Math.floor(Math.log2(Math.max(1, declared)) / doublingsPerClass);
}

function findOrCreateClass(
  classes: Map<number, MeasuredMean>,
  declared: Milliseconds,
): MeasuredMean {
  const number = computeClass(declared);
  const known = classes.get(number);
  if (known !== undefined) return known;
  const created: MeasuredMean = { samples: 0, mean: 0, declared: 0 };
  classes.set(number, created);
  return created;
}
