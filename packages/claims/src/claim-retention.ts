/** How long and how many claims are kept. */
import type { Milliseconds } from '@cranberryturn/types';

/** How long and how many claims are kept. The same at every replica: all forget at the same entry. */
export interface ClaimRetention {
  /** Time that a claim is kept after its job was answered. */
  readonly finishedMilliseconds: Milliseconds;
  /** Time that a claim is kept after its last grant when its job is never reported as answered. */
  readonly unfinishedMilliseconds: Milliseconds;
  /** Number of claims above which new jobs are refused. */
  readonly maximumClaims: number;
}

/** Retention used when the configuration names none. */
export const defaultClaimRetention: ClaimRetention = {
  finishedMilliseconds: 600_000,
  unfinishedMilliseconds: 3_600_000,
  maximumClaims: 1_000_000,
};
