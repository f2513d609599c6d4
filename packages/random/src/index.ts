/** Seeded random numbers. */
import { mersenne } from 'pure-rand/generator/mersenne';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const fractionSteps = 0x1_0000_0000;

/** Source of random numbers; the same seed gives the same numbers. */
export interface RandomSource {
  /** A number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number;
  /** A whole number from 0 (inclusive) to `bound` (exclusive). */
  below(bound: number): number;
}

/** Creates a random source from a seed. */
export function createRandomSource(seed: number): RandomSource {
  // The first numbers of this generator follow its seed, so neighbouring seeds are mixed first.
  const generator = xoroshiro128plus(mersenne(seed).next());
  const fraction = (): number => (generator.next() >>> 0) / fractionSteps;
  return {
    fraction,
    below: bound => Math.floor(fraction() * bound),
  };
}
