/**
 * A reference model of the claim table on a plain map: slow, and simple enough to check by reading.
 */
import {
  type AdoptRequest,
  type ClaimOutcome,
  ClaimOutcomeKind,
  ClaimRefusal,
  type ClaimRequest,
  type ClaimRetention,
  type JobId,
  type LogIndex,
  type Milliseconds,
} from '@cranberryturn/types';

interface ModelClaim {
  readonly claimedAt: LogIndex;
  readonly claimedTime: Milliseconds;
  readonly digest: string;
  owner: ClaimRequest['owner'];
  submissionId: string;
  epoch: number;
  changedTime: Milliseconds;
  finished: boolean;
}

/** The parts of an outcome that the model predicts. */
export interface ComparableOutcome {
  readonly kind: ClaimOutcomeKind;
  readonly epoch?: number | undefined;
  readonly claimedAt?: number | undefined;
  readonly ageMilliseconds?: number | undefined;
  readonly finished?: boolean | undefined;
  readonly owner?: string | undefined;
  readonly reason?: ClaimRefusal | undefined;
  /** True when the epoch belongs to the submission that asked. */
  readonly isOwnSubmission?: boolean | undefined;
}

/** Claims of one team and service. A request with `expectedEpoch` is an adoption. */
export class ModelClaims {
  readonly #claims = new Map<JobId, ModelClaim>();
  readonly #retention: ClaimRetention;
  #droppedAt: Milliseconds | undefined;

  constructor(retention: ClaimRetention) {
    this.#retention = retention;
  }

  get sizes(): { readonly unfinished: number; readonly finished: number } {
    const claims = [...this.#claims.values()];
    const finished = claims.filter(claim => claim.finished).length;
    return { unfinished: claims.length - finished, finished };
  }

  /** Drops expired claims, as each log entry does before its operations are applied. */
  dropExpired(now: Milliseconds): void {
    if (now === this.#droppedAt) return;
    this.#droppedAt = now;
    const { finishedMilliseconds, unfinishedMilliseconds } = this.#retention;
    for (const [jobId, claim] of this.#claims) {
      const retentionMilliseconds = claim.finished
        ? finishedMilliseconds
        : unfinishedMilliseconds;
      if (claim.changedTime < now - retentionMilliseconds)
        this.#claims.delete(jobId);
    }
  }

  submit(
    request: ClaimRequest | AdoptRequest,
    index: LogIndex,
    now: Milliseconds,
  ): ComparableOutcome {
    const claim = this.#claims.get(request.jobId);
    const isAdoption = 'expectedEpoch' in request;
    if (claim === undefined) {
      return isAdoption
        ? { kind: ClaimOutcomeKind.Refused, reason: ClaimRefusal.TooOld }
        : this.#create(request, index, now);
    }
    if (claim.digest !== request.digest) {
      return { kind: ClaimOutcomeKind.Conflict };
    }
    const isSameDispatcher =
      claim.owner.dispatcherId === request.owner.dispatcherId;
    const isSameSubmission =
      isSameDispatcher && claim.submissionId === request.submissionId;
    if (!isAdoption)
      return isSameDispatcher
        ? composeGranted(claim, request, now)
        : composeHeld(claim);
    if (claim.epoch === request.expectedEpoch + 1 && isSameSubmission) {
      return composeGranted(claim, request, now);
    }
    if (claim.epoch !== request.expectedEpoch) return composeHeld(claim);
    claim.owner = request.owner;
    claim.submissionId = request.submissionId;
    claim.epoch += 1;
    if (!claim.finished) claim.changedTime = now;
    return composeGranted(claim, request, now);
  }

  finish(jobId: JobId, epoch: number, now: Milliseconds): void {
    const claim = this.#claims.get(jobId);
    if (claim?.epoch !== epoch || claim.finished) return;
    claim.finished = true;
    claim.changedTime = now;
  }

  #create(
    request: ClaimRequest,
    index: LogIndex,
    now: Milliseconds,
  ): ComparableOutcome {
    if (this.#claims.size >= this.#retention.maximumClaims) {
      return { kind: ClaimOutcomeKind.Refused, reason: ClaimRefusal.TableFull };
    }
    const claim = {
      claimedAt: index,
      claimedTime: now,
      digest: request.digest,
      owner: request.owner,
      submissionId: request.submissionId,
      epoch: 1,
      changedTime: now,
      finished: false,
    };
    this.#claims.set(request.jobId, claim);
    return composeGranted(claim, request, now);
  }
}

/** Reduces an outcome of control to the parts that the model predicts. */
export function composeComparableOutcome(
  outcome: ClaimOutcome,
  submissionId: string,
): ComparableOutcome {
  switch (outcome.kind) {
    case ClaimOutcomeKind.Granted: {
      const { kind, epoch, claimedAt, ageMilliseconds, finished } = outcome;
      const isOwnSubmission = outcome.submissionId === submissionId;
      return {
        kind,
        epoch,
        claimedAt,
        ageMilliseconds,
        finished,
        isOwnSubmission,
      };
    }
    case ClaimOutcomeKind.Held: {
      const { kind, epoch, owner } = outcome;
      return { kind, epoch, owner: owner.dispatcherId };
    }
    case ClaimOutcomeKind.Conflict:
      return { kind: outcome.kind };
    case ClaimOutcomeKind.Refused:
      return { kind: outcome.kind, reason: outcome.reason };
  }
}

function composeGranted(
  claim: ModelClaim,
  request: ClaimRequest,
  now: Milliseconds,
): ComparableOutcome {
  const { epoch, claimedAt, finished, submissionId } = claim;
  return {
    kind: ClaimOutcomeKind.Granted,
    epoch,
    claimedAt,
    ageMilliseconds: now - claim.claimedTime,
    finished,
    isOwnSubmission: submissionId === request.submissionId,
  };
}

function composeHeld({ epoch, owner }: ModelClaim): ComparableOutcome {
  return {
    kind: ClaimOutcomeKind.Held,
    epoch,
    owner: owner.dispatcherId,
  };
}
