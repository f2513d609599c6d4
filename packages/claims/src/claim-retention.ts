/** Default retention of claims. */
import type { ClaimRetention } from '@cranberryturn/types';

/** Retention used when the configuration sets none. */
export const defaultClaimRetention: ClaimRetention = {
  finishedMilliseconds: 600_000,
  unfinishedMilliseconds: 3_600_000,
  maximumClaims: 1_000_000,
};
