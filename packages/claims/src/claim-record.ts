/** Layout of a claim in a fixed-width record. */
import type {
  BodyDigest,
  DispatcherIdentity,
  LogIndex,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
} from '@cranberryturn/types';

import type { RecordLayout } from './record-pages.js';

/** Positions of the 64-bit numbers in a record. */
export enum NumberField {
  ClaimedAt = 0,
  ClaimedTime = 1,
  RosterVersion = 2,
  ChangedTime = 3,
}

/** Positions of the 32-bit words in a record. A digest takes several words; the key digest comes first. */
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

/** Number of words of a body digest. */
export const bodyDigestWords = 4;
/** Number of words of a submission digest. Two suffice: submissions are compared only within one job. */
export const submissionDigestWords = 2;

/** Layout of a claim record: 96 bytes. */
export const claimRecordLayout: RecordLayout = { numbers: 4, words: 16 };

/** Whether the job was answered. */
export enum ClaimPhase {
  Unfinished = 0,
  Finished = 1,
}

/** First claim of a job. */
export interface NewClaim {
  readonly service: ServiceName;
  readonly digest: BodyDigest;
  /** Log index of the claim. */
  readonly claimedAt: LogIndex;
  /** Leader time of the claim. */
  readonly claimedTime: Milliseconds;
  readonly rosterVersion: number;
  readonly owner: DispatcherIdentity;
  /** Submission to which the first epoch is granted. */
  readonly submissionId: string;
}

/** Decoded fields of a record. */
export interface ClaimView {
  readonly claimedAt: LogIndex;
  readonly claimedTime: Milliseconds;
  /** Roster version of the last grant. Owners have placed tasks only on runs registered up to this version. */
  readonly rosterVersion: number;
  readonly owner: DispatcherIdentity;
  readonly epoch: OwnershipEpoch;
  readonly isFinished: boolean;
}
