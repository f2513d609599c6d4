/** Exponential backoff between attempts. */
import type { Milliseconds } from '@cranberryturn/types';

const maximumExponent = 20;

/**
 * Computes the backoff after a number of failures: doubles from the initial value up to the
 * maximum. Callers add jitter.
 */
export function computeBackoff(
  failures: number,
  initialMilliseconds: Milliseconds,
  maximumMilliseconds: Milliseconds,
): Milliseconds {
  const exponent = Math.min(failures, maximumExponent);
  return Math.min(maximumMilliseconds, initialMilliseconds * 2 ** exponent);
}
