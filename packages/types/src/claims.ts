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

/** One run of one dispatcher; ownership does not pass to a restarted dispatcher by itself. */
export interface DispatcherIdentity {
  readonly dispatcherId: DispatcherId;
  readonly incarnation: Incarnation;
}

/** One run of one sidecar. */
export interface TargetIdentity {
  readonly targetId: TargetId;
  readonly incarnation: Incarnation;
}

/** Asks to own a job. */
export interface ClaimRequest {
  readonly team: TeamName;
  readonly jobId: JobId;
  readonly service: ServiceName;
  readonly digest: BodyDigest;
  readonly owner: DispatcherIdentity;
  /** Differs for each submission; the same in every repetition of one call. */
  readonly submissionId: string;
  /** Wall-clock time at which the caller first submitted the job, where the caller says so. */
  readonly submittedAt?: Milliseconds | undefined;
}

/** How a claim request ended. */
export enum ClaimOutcomeKind {
  /** The caller of the port owns the job; no other owner ever had it in this epoch. */
  Granted = 'granted',
  /** Another dispatcher owns the job. */
  Held = 'held',
  /** The job exists with another body. */
  Conflict = 'conflict',
  /** The job was not claimed, and this request never will be. */
  Refused = 'refused',
}

/** Why control refused a claim. */
export enum ClaimRefusal {
  /** First submitted so long ago that an earlier claim may have been forgotten. */
  TooOld = 'too-old',
  /** Control holds as many claims as it may. */
  TableFull = 'table-full',
}

/** The claim was granted. */
export interface ClaimGranted {
  readonly kind: ClaimOutcomeKind.Granted;
  readonly epoch: OwnershipEpoch;
  /**
   * Submission to which this epoch was granted. When it is not the one asked
   * with, an earlier submission to the same owner run may have started tasks:
   * the owner adopts the job with the next epoch before it starts anything.
   */
  readonly submissionId: string;
  /** Position of the first claim of this job in the log. */
  readonly claimedAt: LogIndex;
  /** Time since the first claim of this job, by the leader's clock. */
  readonly ageMilliseconds: Milliseconds;
  /** Sidecar runs that may hold starts of this job; needed on adoption only, when epoch > 1. */
  readonly witnesses: readonly TargetIdentity[];
  /**
   * Roster at the moment of the grant. The owner starts tasks of this job only once its own roster
   * is at least that new, and only on runs with `registeredAt` up to it: an adopter knows no others.
   */
  readonly rosterVersion: number;
  /** An owner already answered the job: answers may be gathered, but nothing may be started. */
  readonly finished: boolean;
}

/** The job is owned by a dispatcher that is not known to be dead. */
export interface ClaimHeld {
  readonly kind: ClaimOutcomeKind.Held;
  readonly epoch: OwnershipEpoch;
  readonly owner: DispatcherIdentity;
  /** Undefined when that run of the dispatcher was replaced or left: the job may be adopted at once. */
  readonly ownerAddress?: NetworkAddress | undefined;
}

/** The job identifier was used with another body. */
export interface ClaimConflict {
  readonly kind: ClaimOutcomeKind.Conflict;
}

/** The job was not claimed. */
export interface ClaimRefused {
  readonly kind: ClaimOutcomeKind.Refused;
  readonly reason: ClaimRefusal;
}

/** Answer of the claim store. */
export type ClaimOutcome =
  ClaimGranted | ClaimHeld | ClaimConflict | ClaimRefused;

/** Asks to take over a job whose owner is presumed dead. Conditional on the epoch seen. */
export interface AdoptRequest extends ClaimRequest {
  /** Epoch of the owner that is presumed dead. */
  readonly expectedEpoch: OwnershipEpoch;
}
