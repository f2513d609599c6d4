/** Port through which dispatchers claim jobs at control. */
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

/** Error of a claim without a known outcome. The claim may have been granted nevertheless. */
export type ClaimError = UnavailableError | TimeoutError;

/** Ownership of jobs, managed by control. */
export interface ClaimStore {
  /** Claims a job. Idempotent for the same owner. */
  claimJob(claim: ClaimRequest): ResultAsync<ClaimOutcome, ClaimError>;
  /** Takes over a job from an owner that is presumed dead. */
  adoptJob(adopt: AdoptRequest): ResultAsync<ClaimOutcome, ClaimError>;
  /** Reports a job as answered, in a later batch. Control drops the claim after its retention. */
  finishClaim(team: TeamName, jobId: JobId, epoch: OwnershipEpoch): void;
}
