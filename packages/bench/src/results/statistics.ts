/** Sums, means and quantiles of measured values. */

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Mean of the values; NaN without any. */
export function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

/** The value below which the fraction of the sorted values lies; NaN without any. */
export function quantile(sorted: readonly number[], fraction: number): number {
  const position = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * fraction),
  );
  return sorted[position] ?? Number.NaN;
}
