/** Measures the cost of each role against one growing dimension at a time. */
import { type FittedLine, fitLine } from '../results/fit-line.js';
import { measureSize } from './measure-scenario.js';
import {
  type MeasuredQuantity,
  measuredQuantities,
  type SizeReading,
  type WorkUnit,
} from './reading.js';
import type { Scenario } from './scenario.js';

/** Cost of one role against one dimension. Written to result files under these names. */
export interface Slope {
  readonly name: string;
  readonly role: string;
  readonly dimension: string;
  readonly description: string;
  readonly unit: WorkUnit;
  readonly readings: readonly SizeReading[];
  readonly lines: Readonly<Record<MeasuredQuantity, FittedLine>>;
}

/** Called after each measured size. */
export type SizeListener = (scenario: Scenario, reading: SizeReading) => void;

/** Measures scenarios one after the other, each at all of its sizes. */
export async function measureSlopes(
  scenarios: readonly Scenario[],
  seed: number,
  sizeMeasured: SizeListener,
): Promise<readonly Slope[]> {
  const slopes: Slope[] = [];
  for (const scenario of scenarios) {
    const readings: SizeReading[] = [];
    for (const size of scenario.sizes) {
      const reading = await measureSize(scenario, size, seed);
      sizeMeasured(scenario, reading);
      readings.push(reading);
    }
    slopes.push(fitSlope(scenario, readings));
  }
  return slopes;
}

/** Fits a line to each quantity. Throws with readings at fewer than two sizes. */
export function fitSlope(
  scenario: Scenario,
  readings: readonly SizeReading[],
): Slope {
  const { name, role, dimension, description, unit } = scenario;
  const fit = (quantity: MeasuredQuantity): FittedLine =>
    fitLine(
      readings.map(reading => ({
        size: reading.size,
        value: reading[quantity],
      })),
    );
  const lines = Object.fromEntries(
    measuredQuantities.map(quantity => [quantity, fit(quantity)]),
  ) as Record<MeasuredQuantity, FittedLine>;
  return { name, role, dimension, description, unit, readings, lines };
}
