/** The table of claimed jobs, built from committed operations only. */
import type {
  BodyDigest,
  DispatcherId,
  DispatcherIdentity,
  Incarnation,
  JobId,
  LogIndex,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
  TeamName,
} from '@cranberryturn/types';
import { Packr } from 'msgpackr';

const keySeparator = '\u0000';
const packer = new Packr({ useRecords: false });

type EncodedClaim = readonly [
  team: TeamName,
  jobId: JobId,
  service: ServiceName,
  digest: BodyDigest,
  claimedAt: LogIndex,
  claimedTime: Milliseconds,
  rosterVersion: number,
  dispatcherId: DispatcherId,
  incarnation: Incarnation,
  submissionId: string,
  epoch: OwnershipEpoch,
  changedTime: Milliseconds,
];

/** One claimed job. */
export interface ClaimRecord {
  readonly team: TeamName;
  readonly jobId: JobId;
  readonly service: ServiceName;
  readonly digest: BodyDigest;
  /** Position in the log of the first claim. */
  readonly claimedAt: LogIndex;
  /** Time of the leader at the first claim. */
  readonly claimedTime: Milliseconds;
  /** Roster of the last grant: owners so far placed tasks on runs registered up to it. */
  readonly rosterVersion: number;
  readonly owner: DispatcherIdentity;
  /** Submission to which the current epoch was granted. */
  readonly submissionId: string;
  readonly epoch: OwnershipEpoch;
  /** Time of the leader at the last grant, or at the answer once the job is finished. */
  readonly changedTime: Milliseconds;
}

/** How long and how many claims are kept. */
export interface ClaimRetention {
  /** Time that a claim is kept after its job was answered. */
  readonly finishedMilliseconds: Milliseconds;
  /** Time that a claim is kept after its last grant when its job is never reported as answered. */
  readonly unfinishedMilliseconds: Milliseconds;
  /** Number of claims above which new jobs are refused. */
  readonly maximumClaims: number;
}

/** Retention used when the settings name none. */
export const defaultClaimRetention: ClaimRetention = {
  finishedMilliseconds: 600_000,
  unfinishedMilliseconds: 3_600_000,
  maximumClaims: 300_000,
};

/** A record with its encoded form, made once so that a snapshot only joins bytes. */
export interface StoredClaim {
  readonly record: ClaimRecord;
  readonly encoded: Uint8Array;
}

/** All claims. Both maps are in order of `changedTime`. */
export interface ClaimTable {
  readonly unfinished: Map<string, StoredClaim>;
  readonly finished: Map<string, StoredClaim>;
}

/** A claim table as bytes. */
export interface ClaimTableSnapshot {
  readonly unfinished: Uint8Array;
  readonly finished: Uint8Array;
}

/** Creates an empty table. */
export function createClaimTable(): ClaimTable {
  return { unfinished: new Map(), finished: new Map() };
}

/** Builds a table from a snapshot. */
export function restoreClaimTable(snapshot: ClaimTableSnapshot): ClaimTable {
  return {
    unfinished: decodeClaims(snapshot.unfinished),
    finished: decodeClaims(snapshot.finished),
  };
}

/** Joins the encoded claims of a table. */
export function captureClaimTable(table: ClaimTable): ClaimTableSnapshot {
  return {
    unfinished: joinClaims(table.unfinished),
    finished: joinClaims(table.finished),
  };
}

/** Encodes a record as a list of its fields. */
export function encodeClaim(record: ClaimRecord): StoredClaim {
  const fields: EncodedClaim = [
    record.team,
    record.jobId,
    record.service,
    record.digest,
    record.claimedAt,
    record.claimedTime,
    record.rosterVersion,
    record.owner.dispatcherId,
    record.owner.incarnation,
    record.submissionId,
    record.epoch,
    record.changedTime,
  ];
  return { record, encoded: packer.pack(fields) };
}

/** Names a job among all teams. */
export function composeClaimKey(team: TeamName, jobId: JobId): string {
  return `${team}${keySeparator}${jobId}`;
}

/** Drops every claim whose retention has passed at `now`, a time of the leader. */
export function dropExpiredClaims(
  table: ClaimTable,
  retention: ClaimRetention,
  now: Milliseconds,
): void {
  dropOlder(table.finished, now - retention.finishedMilliseconds);
  dropOlder(table.unfinished, now - retention.unfinishedMilliseconds);
}

function dropOlder(
  claims: Map<string, StoredClaim>,
  horizon: Milliseconds,
): void {
  for (const [key, { record }] of claims) {
    if (record.changedTime >= horizon) return;
    claims.delete(key);
  }
}

function joinClaims(claims: ReadonlyMap<string, StoredClaim>): Uint8Array {
  return Buffer.concat([...claims.values()].map(claim => claim.encoded));
}

function decodeClaims(bytes: Uint8Array): Map<string, StoredClaim> {
  const claims = new Map<string, StoredClaim>();
  if (bytes.byteLength === 0) return claims;
  for (const fields of packer.unpackMultiple(bytes) as EncodedClaim[]) {
    const record = readClaim(fields);
    claims.set(composeClaimKey(record.team, record.jobId), encodeClaim(record));
  }
  return claims;
}

function readClaim([
  team,
  jobId,
  service,
  digest,
  claimedAt,
  claimedTime,
  rosterVersion,
  dispatcherId,
  incarnation,
  submissionId,
  epoch,
  changedTime,
]: EncodedClaim): ClaimRecord {
  const owner = { dispatcherId, incarnation };
  return {
    team,
    jobId,
    service,
    digest,
    claimedAt,
    claimedTime,
    rosterVersion,
    owner,
    submissionId,
    epoch,
    changedTime,
  };
}
