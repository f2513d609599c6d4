/** The fields of a claim in its fixed-width record. */
import type {
  BodyDigest,
  DispatcherIdentity,
  LogIndex,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
} from '@cranberryturn/types';

import type { RecordLayout } from './record-pages.js';

/** Numbers of 64 bits in a record. */
export enum NumberField {
  ClaimedAt = 0,
  ClaimedTime = 1,
  RosterVersion = 2,
  ChangedTime = 3,
}

/** Words of 32 bits in a record. A digest takes several; the digest of the key comes first. */
export enum WordField {
  Key = 0,
  Body = 4,
  Submission = 8,
  Owner = 10,
  Service = 11,
  Epoch = 12,
  Phase = 13,
  Previous = 14,
  Next = 15,
}

/** Words of the digest of a body. */
export const bodyDigestWords = 4;
/** Words of the digest of a submission, which is compared within one job only. */
export const submissionDigestWords = 2;

/** The record: 96 bytes. */
export const claimRecordLayout: RecordLayout = { numbers: 4, words: 16 };

/** Whether an owner has answered the job. */
export enum ClaimPhase {
  Unfinished = 0,
  Finished = 1,
}

/** A job that is claimed for the first time. */
export interface NewClaim {
  readonly service: ServiceName;
  readonly digest: BodyDigest;
  /** Position in the log of the claim. */
  readonly claimedAt: LogIndex;
  /** Time of the leader at the claim. */
  readonly claimedTime: Milliseconds;
  readonly rosterVersion: number;
  readonly owner: DispatcherIdentity;
  /** Submission to which the epoch is granted. */
  readonly submissionId: string;
}

/** What a record says of its job. */
export interface ClaimView {
  readonly claimedAt: LogIndex;
  readonly claimedTime: Milliseconds;
  /** Roster of the last grant: owners so far placed tasks on runs registered up to it. */
  readonly rosterVersion: number;
  readonly owner: DispatcherIdentity;
  readonly epoch: OwnershipEpoch;
  readonly isFinished: boolean;
}
