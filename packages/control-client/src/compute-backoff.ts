/** Pauses between attempts. */
import type { Milliseconds } from '@cranberryturn/types';

const maximumExponent = 20;

/** The pause after a number of failures: doubles from `first` up to `longest`. */
export function computeBackoff(
  failures: number,
  initialMilliseconds: Milliseconds,
  maximumMilliseconds: Milliseconds,
): Milliseconds {
  const exponent = Math.min(failures, maximumExponent);
  return Math.min(maximumMilliseconds, initialMilliseconds * 2 ** exponent);
}
