import type { TimeoutError, UnavailableError } from '@cranberryturn/errors';
import type {
  AdoptRequest,
  ClaimOutcome,
  ClaimRequest,
  JobId,
  OwnershipEpoch,
  TeamName,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** Why a claim has no outcome; the claim may have been granted all the same. */
export type ClaimError = UnavailableError | TimeoutError;

/** Ownership of jobs, held by control. */
export interface ClaimStore {
  /** Asks to own a job. The same owner asking again gets the same outcome. */
  claimJob(claim: ClaimRequest): ResultAsync<ClaimOutcome, ClaimError>;
  /** Takes a job over from an owner that is presumed dead. */
  adoptJob(adopt: AdoptRequest): ResultAsync<ClaimOutcome, ClaimError>;
  /** Says that a job was answered, in a later batch; control may forget it after its retention. */
  finishClaim(team: TeamName, jobId: JobId, epoch: OwnershipEpoch): void;
}
