/** The table of claimed jobs, built from committed operations only. */
import type {
  BodyDigest,
  DispatcherIdentity,
  JobId,
  LogIndex,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
  TeamName,
} from '@cranberryturn/types';

const keySeparator = '\u0000';

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
  rosterVersion: number;
  owner: DispatcherIdentity;
  /** Submission to which the current epoch was granted. */
  submissionId: string;
  epoch: OwnershipEpoch;
  /** Time of the leader at the last grant, or at the answer once the job is finished. */
  changedTime: Milliseconds;
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
  maximumClaims: 1_000_000,
};

/** All claims. Both maps are in order of `changedTime`. */
export interface ClaimTable {
  readonly unfinished: Map<string, ClaimRecord>;
  readonly finished: Map<string, ClaimRecord>;
}

/** A claim table as plain data. */
export interface ClaimTableSnapshot {
  readonly unfinished: readonly ClaimRecord[];
  readonly finished: readonly ClaimRecord[];
}

/** Creates an empty table. */
export function createClaimTable(): ClaimTable {
  return { unfinished: new Map(), finished: new Map() };
}

/** Builds a table from a snapshot. */
export function restoreClaimTable(snapshot: ClaimTableSnapshot): ClaimTable {
  return {
    unfinished: indexRecords(snapshot.unfinished),
    finished: indexRecords(snapshot.finished),
  };
}

/** Copies a table into plain data. */
export function captureClaimTable(table: ClaimTable): ClaimTableSnapshot {
  return {
    unfinished: [...table.unfinished.values()],
    finished: [...table.finished.values()],
  };
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
  records: Map<string, ClaimRecord>,
  horizon: Milliseconds,
): void {
  for (const [key, record] of records) {
    if (record.changedTime >= horizon) return;
    records.delete(key);
  }
}

function indexRecords(
  records: readonly ClaimRecord[],
): Map<string, ClaimRecord> {
  return new Map(
    records.map(record => [
      composeClaimKey(record.team, record.jobId),
      { ...record },
    ]),
  );
}
