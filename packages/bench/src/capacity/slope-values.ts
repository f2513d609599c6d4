/** Reads values at a size from saved slopes. */
import { valueAt } from '../results/fit-line.js';
import type { Slope } from '../slopes/measure-slopes.js';
import type { MeasuredQuantity } from '../slopes/reading.js';

/** Values of saved slopes. */
export interface SlopeValues {
  /** Value of the fitted line at a size. */
  estimateAt(name: string, quantity: MeasuredQuantity, size: number): number;
  /** Growth for each unit of size. */
  readSlope(name: string, quantity: MeasuredQuantity): number;
  /** Value measured at the largest size, where the cost does not grow along a line. */
  readLargest(name: string, quantity: MeasuredQuantity): number;
  /** Value measured at one of the sizes. */
  readAt(name: string, quantity: MeasuredQuantity, size: number): number;
}

/** Reads values from slopes; a missing slope is an error in the caller. */
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
      valueAt(find(name).lines[quantity], size),
    readSlope: (name, quantity) => find(name).lines[quantity].slope,
    readAt: (name, quantity, size) => {
      const reading = find(name).readings.find(one => one.size === size);
      if (reading !== undefined) return reading[quantity];
      throw new Error(`"${name}" was not measured at ${String(size)}.`);
    },
    readLargest: (name, quantity) =>
      find(name).readings.at(-1)?.[quantity] ?? 0,
  };
}
