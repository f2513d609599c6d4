/** The number of claims that a measured replica grants. */

const maximumClaims = 8_000;
const claimsPerCaller = 300;

/** Total number of claims for a number of concurrent claims; both sides compute it. */
export function countClaims(concurrentClaims: number): number {
  return Math.min(maximumClaims, concurrentClaims * claimsPerCaller);
}
