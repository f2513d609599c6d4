/** Pauses between attempts. */
import type { Milliseconds } from '@cranberryturn/types';

const largestExponent = 20;

/** The pause after a number of failures: doubles from `first` up to `longest`. */
export function computeBackoff(
  failures: number,
  first: Milliseconds,
  longest: Milliseconds,
): Milliseconds {
  const exponent = Math.min(failures, largestExponent);
  return Math.min(longest, first * 2 ** exponent);
}
