/** Looks up and interpolates values in saved slopes. */
import { evaluateLine } from '../results/fit-line.js';
import type { Slope } from '../slopes/measure-slopes.js';
import type { MeasuredQuantity } from '../slopes/reading.js';

/** Values of saved slopes by scenario name. All methods throw if the slope is missing. */
export interface SlopeValues {
  /** Value of the fitted line at a size. */
  estimateAt(name: string, quantity: MeasuredQuantity, size: number): number;
  /** Slope of the fitted line: growth for each unit of size. */
  readSlope(name: string, quantity: MeasuredQuantity): number;
  /** Value measured at the largest size, for costs that do not grow linearly. */
  readLargest(name: string, quantity: MeasuredQuantity): number;
  /** Value measured at a size; throws if that size was not measured. */
  readAt(name: string, quantity: MeasuredQuantity, size: number): number;
}

/** Gives access to slopes by scenario name. */
export function readSlopeValues(slopes: readonly Slope[]): SlopeValues {
  const find = (name: string): Slope => {
    const slope = slopes.find(one => one.name === name);
    if (slope !== undefined) return slope;
    throw new Error(
      `The saved slopes hold no "${name}"; measure again with \`npm run bench -- slopes --save bench/results/slopes.json\`.`,
    );
  };
  return {
    estimateAt: (name, quantity, size) =>
      evaluateLine(find(name).lines[quantity], size),
    readSlope: (name, quantity) => find(name).lines[quantity].slope,
    readAt: (name, quantity, size) => {
      const reading = find(name).readings.find(one => one.size === size);
      if (reading !== undefined) return reading[quantity];
      throw new Error(
        `The saved slopes hold no reading of "${name}" at size ${String(size)}; add the size to the scenario and measure again.`,
      );
    },
    readLargest: (name, quantity) =>
      find(name).readings.at(-1)?.[quantity] ?? 0,
  };
}
