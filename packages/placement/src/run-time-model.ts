/** Learns how long the tasks of a service run, and how far declarations are off. */
import type { Milliseconds } from '@cranberryturn/types';
import { build, type Histogram } from 'hdr-histogram-js';

/** Learned run times of one service. */
export interface RunTimeModel {
  record(runMilliseconds: Milliseconds, declared?: Milliseconds): void;
  /** Expected run time; what was learned beats what is declared. */
  estimate(declared?: Milliseconds): Milliseconds;
  /** Run time below which `percentile` per cent of the tasks stay; undefined until enough was learned. */
  quantile(percentile: 10 | 50 | 99): Milliseconds | undefined;
}

interface LearnedMean {
  samples: number;
  mean: Milliseconds;
  /** Mean of what was declared. */
  declared: Milliseconds;
}

interface LearnedQuantiles {
  10: Milliseconds;
  50: Milliseconds;
  99: Milliseconds;
}

const unlearnedRunMilliseconds: Milliseconds = 200;
const highestRunMilliseconds: Milliseconds = 3_600_000;
const fewestSamples = 8;
const fewestQuantileSamples = 50;
const samplesInWindow = 2_048;
const samplesBetweenQuantiles = 64;
const newestWeight = 1 / 128;
const logarithmStepsPerClass = 2;

/** Creates a model that forgets: it covers the last 2,048 to 4,096 tasks. */
export function createRunTimeModel(): RunTimeModel {
  let current = createHistogram();
  let previous = createHistogram();
  let quantiles: LearnedQuantiles | undefined;
  const overall: LearnedMean = { samples: 0, mean: 0, declared: 0 };
  const classes = new Map<number, LearnedMean>();

  const refresh = (): void => {
    const both = createHistogram();
    both.add(previous);
    both.add(current);
    quantiles = {
      10: both.getValueAtPercentile(10),
      50: both.getValueAtPercentile(50),
      99: both.getValueAtPercentile(99),
    };
    if (current.totalCount < samplesInWindow) return;
    [previous, current] = [current, previous];
    current.reset();
  };

  return {
    record: (runMilliseconds, declared) => {
      const bounded = Math.min(
        Math.max(runMilliseconds, 1),
        highestRunMilliseconds,
      );
      current.recordValue(Math.round(bounded));
      learn(overall, bounded, 0);
      if (declared !== undefined)
        learn(classOf(classes, declared), bounded, declared);
      const due = overall.samples % samplesBetweenQuantiles === 0;
      if (due || overall.samples === fewestQuantileSamples) refresh();
    },
    estimate: declared => {
      if (declared !== undefined) {
        const learned = classes.get(classNumber(declared));
        if (learned !== undefined && learned.samples >= fewestSamples)
          return scaleWithin(learned, declared);
      }
      if (overall.samples >= fewestSamples) return overall.mean;
      return declared ?? unlearnedRunMilliseconds;
    },
    quantile: percentile =>
      overall.samples < fewestQuantileSamples
        ? undefined
        : quantiles?.[percentile],
  };
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestRunMilliseconds,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

function learn(
  learned: LearnedMean,
  value: Milliseconds,
  declared: Milliseconds,
): void {
  learned.samples += 1;
  const weight = Math.max(1 / learned.samples, newestWeight);
  learned.mean += (value - learned.mean) * weight;
  learned.declared += (declared - learned.declared) * weight;
}

/** What was learned of a class, in proportion to one declaration of the class. */
function scaleWithin(
  learned: LearnedMean,
  declared: Milliseconds,
): Milliseconds {
  if (learned.declared <= 0) return learned.mean;
  return (learned.mean * declared) / learned.declared;
}

function classNumber(declared: Milliseconds): number {
  return Math.floor(Math.log2(Math.max(1, declared)) / logarithmStepsPerClass);
}

function classOf(
  classes: Map<number, LearnedMean>,
  declared: Milliseconds,
): LearnedMean {
  const number = classNumber(declared);
  const known = classes.get(number);
  if (known !== undefined) return known;
  const created: LearnedMean = { samples: 0, mean: 0, declared: 0 };
  classes.set(number, created);
  return created;
}
