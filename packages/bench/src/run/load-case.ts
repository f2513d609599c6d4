/** Cases of a load measurement: deployment, event and placement policy. */
import type { Milliseconds } from '@cranberryturn/types';

import type { DeploymentShape } from '../load/deployment-shape.js';
import type { LoadOptions } from '../load/plan-load.js';

/** Event during a load. */
export enum LoadEvent {
  Calm = 'calm',
  /** One worker fails every task at once. */
  FailingWorker = 'one worker fails all',
  /** One worker dies a quarter into the load. */
  DeadWorker = 'one worker dies',
  /** Tasks on one worker take ten times as long. */
  SlowWorker = 'one worker is 10x slow',
  /** The arrival rate is ten times as high for a short time. */
  Burst = 'burst of 10x',
  /** A third of the declared run times is wrong by a factor of ten. */
  Misdeclared = 'misdeclared sizes',
}

/** Policy that places the tasks. */
export enum Policy {
  Product = 'product',
  /** Random placement as the baseline. */
  Random = 'random',
}

/** One case of a load measurement. */
export interface LoadCase {
  readonly shape: DeploymentShape;
  readonly event: LoadEvent;
  readonly policy: Policy;
  readonly seed: number;
  readonly durationMilliseconds: Milliseconds;
}

/** Fraction of the slots that a load keeps busy on average. */
export const measuredLoadFraction = 0.7;

const burstDurationMilliseconds: Milliseconds = 500;
const burstFactor = 10;
const misdeclaredShare = 1 / 3;

/** Composes the options from which the load of a case is planned. */
export function composeLoadOptions(loadCase: LoadCase): LoadOptions {
  const { shape, seed, durationMilliseconds } = loadCase;
  const baseOptions = {
    shape,
    seed,
    durationMilliseconds,
    loadFraction: measuredLoadFraction,
  };
  switch (loadCase.event) {
    case LoadEvent.Calm:
    case LoadEvent.FailingWorker:
    case LoadEvent.DeadWorker:
    case LoadEvent.SlowWorker:
      return baseOptions;
    case LoadEvent.Burst:
      return {
        ...baseOptions,
        bursts: [
          {
            at: durationMilliseconds / 4,
            durationMilliseconds: burstDurationMilliseconds,
            factor: burstFactor,
          },
        ],
      };
    case LoadEvent.Misdeclared:
      return { ...baseOptions, misdeclaredShare };
  }
}
