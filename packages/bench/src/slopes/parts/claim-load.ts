/** The load of claims that a replica under measure grants. */

const maximumClaims = 8_000;
const claimsPerCaller = 300;

/** Number of claims measured with this many at the same time. */
export function countClaims(concurrentClaims: number): number {
  return Math.min(maximumClaims, concurrentClaims * claimsPerCaller);
}
