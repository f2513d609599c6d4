/** Fits a least-squares line to measured points. */
import { mean, sum } from './statistics.js';

/** A value measured at a size. */
export interface MeasuredPoint {
  readonly size: number;
  readonly value: number;
}

/** A fitted line and the quality of the fit. Written to result files under these names. */
export interface FittedLine {
  /** Growth of the value for each unit of size. */
  readonly slope: number;
  /** Value at size zero. */
  readonly intercept: number;
  /** Root mean square of the vertical distances from the line, in the unit of the value. */
  readonly residual: number;
  /** Coefficient of determination (R²): share of the variance that the line explains, from 0 to 1. */
  readonly determination: number;
}

const significantDigits = 6;

/** Fits a line by least squares. Throws a RangeError with fewer than two distinct sizes. */
export function fitLine(points: readonly MeasuredPoint[]): FittedLine {
  const sizes = points.map(point => point.size);
  const values = points.map(point => point.value);
  const meanSize = mean(sizes);
  const meanValue = mean(values);
  const spread = sum(sizes.map(size => (size - meanSize) ** 2));
  if (spread === 0) {
    throw new RangeError(
      'A line cannot be fitted to fewer than two distinct sizes.',
    );
  }
  const covariance = sum(
    points.map(({ size, value }) => (size - meanSize) * (value - meanValue)),
  );
  const slope = covariance / spread;
  const intercept = meanValue - slope * meanSize;
  const residualSquares = sum(
    points.map(({ size, value }) => (value - intercept - slope * size) ** 2),
  );
  const totalSquares = sum(values.map(value => (value - meanValue) ** 2));
  return {
    slope: round(slope),
    intercept: round(intercept),
    residual: round(Math.sqrt(residualSquares / points.length)),
    determination:
      totalSquares === 0 ? 1 : round(1 - residualSquares / totalSquares),
  };
}

/** Returns the value of the line at a size. */
export function evaluateLine(line: FittedLine, size: number): number {
  return line.intercept + line.slope * size;
}

function round(value: number): number {
  return Number(value.toPrecision(significantDigits));
}
