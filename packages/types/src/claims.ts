/** Claims: ownership of jobs by dispatchers, which control grants and stores in the replicated log. */
import type {
  BodyDigest,
  DispatcherId,
  Incarnation,
  JobId,
  LogIndex,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
  TargetId,
  TeamName,
} from './identifiers.js';
import type { NetworkAddress } from './targets.js';

/** Identifies one run of a dispatcher. A restarted dispatcher does not inherit ownership of jobs. */
export interface DispatcherIdentity {
  readonly dispatcherId: DispatcherId;
  readonly incarnation: Incarnation;
}

/** Identifies one run of a sidecar. */
export interface TargetIdentity {
  readonly targetId: TargetId;
  readonly incarnation: Incarnation;
}

/** Request for the ownership of a job. */
export interface ClaimRequest {
  readonly team: TeamName;
  readonly jobId: JobId;
  readonly service: ServiceName;
  readonly digest: BodyDigest;
  readonly owner: DispatcherIdentity;
  /** Unique for each submission; unchanged when one call is repeated. */
  readonly submissionId: string;
  /** Wall-clock time at which the caller first submitted the job, if the caller gave one. */
  readonly submittedAt?: Milliseconds | undefined;
}

/** Kinds of outcome of a claim request. */
export enum ClaimOutcomeKind {
  /** The requesting dispatcher owns the job; no other dispatcher ever owned the job in this epoch. */
  Granted = 'granted',
  /** Another dispatcher owns the job. */
  Held = 'held',
  /** The job exists with another body. */
  Conflict = 'conflict',
  /** The job was not claimed, and this request will never claim the job. */
  Refused = 'refused',
}

/** Reason why control refused a claim. */
export enum ClaimRefusal {
  /** The job was first submitted so long ago that control may have forgotten an earlier claim. */
  TooOld = 'too-old',
  /** Control stores the maximum number of claims. */
  TableFull = 'table-full',
}

/** The claim was granted. */
export interface ClaimGranted {
  readonly kind: ClaimOutcomeKind.Granted;
  readonly epoch: OwnershipEpoch;
  /**
   * Submission to which this epoch was granted. If that is not the submission of
   * the request, an earlier submission to the same owner run may have started
   * tasks: the owner must adopt the job with the next epoch before starting any.
   */
  readonly submissionId: string;
  /** Log index of the first claim of this job. */
  readonly claimedAt: LogIndex;
  /** Time since the first claim of this job, by the clock of the leader. */
  readonly ageMilliseconds: Milliseconds;
  /** Sidecar runs that may have started attempts of this job; needed on adoption only (epoch > 1). */
  readonly witnesses: readonly TargetIdentity[];
  /**
   * Version of the roster at the grant. The owner starts tasks of this job only once its own roster
   * has at least this version, and only on runs whose `registeredAt` does not exceed this version:
   * a later adopter queries no other runs.
   */
  readonly rosterVersion: number;
  /** An owner has already answered the job: results may be collected, but no task may be started. */
  readonly finished: boolean;
}

/** Another dispatcher, not known to be dead, owns the job. */
export interface ClaimHeld {
  readonly kind: ClaimOutcomeKind.Held;
  readonly epoch: OwnershipEpoch;
  readonly owner: DispatcherIdentity;
  /**
   * Undefined if that run of the dispatcher was replaced or has left: the job may be adopted at
   * once.
   */
  readonly ownerAddress?: NetworkAddress | undefined;
}

/** The job identifier is already in use with another body. */
export interface ClaimConflict {
  readonly kind: ClaimOutcomeKind.Conflict;
}

/** The job was not claimed. */
export interface ClaimRefused {
  readonly kind: ClaimOutcomeKind.Refused;
  readonly reason: ClaimRefusal;
}

/** Outcome of a claim or adopt request. */
export type ClaimOutcome =
  ClaimGranted | ClaimHeld | ClaimConflict | ClaimRefused;

/**
 * Request to take over a job whose owner is presumed dead. Granted only if the epoch is still
 * current.
 */
export interface AdoptRequest extends ClaimRequest {
  /** Epoch of the owner that is presumed dead. */
  readonly expectedEpoch: OwnershipEpoch;
}
