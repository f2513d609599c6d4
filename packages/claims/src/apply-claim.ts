/** Applies committed claims, adoptions and reports of answered jobs to the claim table. */
import {
  type AdoptRequest,
  type ClaimGranted,
  type ClaimHeld,
  type ClaimOutcome,
  ClaimOutcomeKind,
  ClaimRefusal,
  type ClaimRequest,
  type DispatcherIdentity,
  type JobId,
  type LogIndex,
  type Milliseconds,
  type NetworkAddress,
  type OwnershipEpoch,
  type ServiceName,
  type TargetIdentity,
  type TeamName,
} from '@cranberryturn/types';

import {
  type ClaimRecord,
  type ClaimRetention,
  type ClaimTable,
  composeClaimKey,
  encodeClaim,
} from './claim-table.js';

/** What the roster tells about owners and runs of sidecars. */
export interface ClaimRoster {
  readonly version: number;
  /** Undefined when that run of the dispatcher is not the registered one. */
  findOwnerAddress(owner: DispatcherIdentity): NetworkAddress | undefined;
  /** Runs of a service that were not retired before `since` and were registered up to `until`. */
  listWitnesses(
    service: ServiceName,
    since: LogIndex,
    until: LogIndex,
  ): TargetIdentity[];
}

/** Everything besides the table on which an outcome depends. */
export interface ClaimContext {
  readonly index: LogIndex;
  /** Time of the leader stamped on the entry. */
  readonly leaderTime: Milliseconds;
  readonly roster: ClaimRoster;
  readonly retention: ClaimRetention;
}

/** Asks to own a job; the same owner asking again gets the same outcome. */
export function applyClaim(
  table: ClaimTable,
  claim: ClaimRequest,
  context: ClaimContext,
): ClaimOutcome {
  const key = composeClaimKey(claim.team, claim.jobId);
  const record = findRecord(table, key);
  if (record === undefined) return createClaim(table, key, claim, context);
  if (!isSameJob(record, claim)) return { kind: ClaimOutcomeKind.Conflict };
  if (!isSameOwner(record.owner, claim.owner)) return hold(record, context);
  return grant(table, key, record, context);
}

/** Takes a job over if its epoch is still the expected one. */
export function applyAdoption(
  table: ClaimTable,
  adopt: AdoptRequest,
  context: ClaimContext,
): ClaimOutcome {
  const key = composeClaimKey(adopt.team, adopt.jobId);
  const record = findRecord(table, key);
  // The claim was forgotten, so nothing tells which tasks have started.
  if (record === undefined) return refuse(ClaimRefusal.TooOld);
  if (!isSameJob(record, adopt)) return { kind: ClaimOutcomeKind.Conflict };
  if (wasGrantedTo(record, adopt)) return grant(table, key, record, context);
  if (record.epoch !== adopt.expectedEpoch) return hold(record, context);
  const adopted: ClaimRecord = {
    ...record,
    owner: adopt.owner,
    submissionId: adopt.submissionId,
    epoch: record.epoch + 1,
  };
  return grant(table, key, renew(table, key, adopted, context), context);
}

/** Records that the owner in this epoch has answered its job. */
export function applyFinish(
  table: ClaimTable,
  team: TeamName,
  jobId: JobId,
  epoch: OwnershipEpoch,
  leaderTime: Milliseconds,
): void {
  const key = composeClaimKey(team, jobId);
  const record = table.unfinished.get(key)?.record;
  if (record?.epoch !== epoch) return;
  table.unfinished.delete(key);
  table.finished.set(key, encodeClaim({ ...record, changedTime: leaderTime }));
}

function createClaim(
  table: ClaimTable,
  key: string,
  claim: ClaimRequest,
  context: ClaimContext,
): ClaimOutcome {
  const { index, leaderTime, retention } = context;
  const { submittedAt } = claim;
  if (
    submittedAt !== undefined &&
    leaderTime - submittedAt >= retention.finishedMilliseconds
  ) {
    return refuse(ClaimRefusal.TooOld);
  }
  if (table.unfinished.size + table.finished.size >= retention.maximumClaims) {
    return refuse(ClaimRefusal.TableFull);
  }
  const record: ClaimRecord = {
    team: claim.team,
    jobId: claim.jobId,
    service: claim.service,
    digest: claim.digest,
    claimedAt: index,
    claimedTime: leaderTime,
    rosterVersion: context.roster.version,
    owner: claim.owner,
    submissionId: claim.submissionId,
    epoch: 1,
    changedTime: leaderTime,
  };
  return grant(table, key, record, context);
}

function grant(
  table: ClaimTable,
  key: string,
  record: ClaimRecord,
  { leaderTime, roster }: ClaimContext,
): ClaimGranted {
  const { service, claimedAt, rosterVersion } = record;
  const isFinished = table.finished.has(key);
  // A claim that is there already keeps its place in the order of time.
  (isFinished ? table.finished : table.unfinished).set(
    key,
    encodeClaim({ ...record, rosterVersion: roster.version }),
  );
  return {
    kind: ClaimOutcomeKind.Granted,
    epoch: record.epoch,
    submissionId: record.submissionId,
    claimedAt,
    ageMilliseconds: leaderTime - record.claimedTime,
    witnesses:
      record.epoch > 1
        ? roster.listWitnesses(service, claimedAt, rosterVersion)
        : [],
    rosterVersion: roster.version,
    finished: isFinished,
  };
}

function hold(record: ClaimRecord, { roster }: ClaimContext): ClaimHeld {
  return {
    kind: ClaimOutcomeKind.Held,
    epoch: record.epoch,
    owner: record.owner,
    ownerAddress: roster.findOwnerAddress(record.owner),
  };
}

function refuse(reason: ClaimRefusal): ClaimOutcome {
  return { kind: ClaimOutcomeKind.Refused, reason };
}

/** Lets the retention of an unfinished claim start again; it moves to the end of the order of time. */
function renew(
  table: ClaimTable,
  key: string,
  record: ClaimRecord,
  { leaderTime }: ClaimContext,
): ClaimRecord {
  if (!table.unfinished.delete(key)) return record;
  return { ...record, changedTime: leaderTime };
}

function findRecord(table: ClaimTable, key: string): ClaimRecord | undefined {
  return (table.unfinished.get(key) ?? table.finished.get(key))?.record;
}

function isSameJob(record: ClaimRecord, claim: ClaimRequest): boolean {
  return record.digest === claim.digest && record.service === claim.service;
}

/** Whether the current epoch was granted to this very adoption, whose answer was lost. */
function wasGrantedTo(record: ClaimRecord, adopt: AdoptRequest): boolean {
  return (
    record.epoch === adopt.expectedEpoch + 1 &&
    record.submissionId === adopt.submissionId &&
    isSameOwner(record.owner, adopt.owner)
  );
}

function isSameOwner(
  left: DispatcherIdentity,
  right: DispatcherIdentity,
): boolean {
  return (
    left.dispatcherId === right.dispatcherId &&
    left.incarnation === right.incarnation
  );
}
