/** Seeded pseudo-random numbers. Not for secrets. */
import { mersenne } from 'pure-rand/generator/mersenne';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const fractionSteps = 0x1_0000_0000;

/** Source of pseudo-random numbers; the same seed yields the same sequence. */
export interface RandomSource {
  /** Returns the next number, from 0 (inclusive) to 1 (exclusive). */
  fraction(): number;
  /** Returns the next integer, from 0 (inclusive) to `bound` (exclusive). */
  below(bound: number): number;
}

/** Creates a random source from a seed. */
export function createRandomSource(seed: number): RandomSource {
  // The first outputs of xoroshiro128plus correlate with the seed, so neighbouring seeds are mixed
  // with a Mersenne Twister first.
  const generator = xoroshiro128plus(mersenne(seed).next());
  const fraction = (): number => (generator.next() >>> 0) / fractionSteps;
  return {
    fraction,
    below: bound => Math.floor(fraction() * bound),
  };
}
