/** Draws the gaps between arrivals that do not depend on one another. */
import type { RandomSource } from '@cranberryturn/random';

/** Draws from the exponential distribution with mean 1. */
export function drawExponential(random: RandomSource): number {
  return -Math.log(1 - random.fraction());
}
