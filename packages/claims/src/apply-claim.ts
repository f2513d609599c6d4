/** Applies committed claims, adoptions and reports of answered jobs to the claim table. */
import {
  type AdoptRequest,
  type ClaimGranted,
  type ClaimHeld,
  type ClaimOutcome,
  ClaimOutcomeKind,
  ClaimRefusal,
  type ClaimRequest,
  type ClaimRetention,
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

import type { ClaimView } from './claim-record.js';
import type { ClaimNumber, ClaimTable } from './claim-table.js';
import { digestJob } from './digest-words.js';
import type { Digest } from './record-index.js';

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
  const key = digestJob(claim.team, claim.jobId);
  const known = table.find(key);
  if (known === undefined) return createClaim(table, key, claim, context);
  if (!table.isSameJob(known, claim.service, claim.digest)) {
    return { kind: ClaimOutcomeKind.Conflict };
  }
  const view = table.read(known);
  if (!isSameOwner(view.owner, claim.owner)) return reportOwner(view, context);
  return grantEpoch(table, known, claim, context);
}

/** Takes a job over if its epoch is still the expected one. */
export function applyAdoption(
  table: ClaimTable,
  adopt: AdoptRequest,
  context: ClaimContext,
): ClaimOutcome {
  const known = table.find(digestJob(adopt.team, adopt.jobId));
  // The claim was forgotten, so nothing tells which tasks have started.
  if (known === undefined) return refuse(ClaimRefusal.TooOld);
  if (!table.isSameJob(known, adopt.service, adopt.digest)) {
    return { kind: ClaimOutcomeKind.Conflict };
  }
  const view = table.read(known);
  if (isRepeatedAdoption(table, known, view, adopt)) {
    return grantEpoch(table, known, adopt, context);
  }
  if (view.epoch !== adopt.expectedEpoch) return reportOwner(view, context);
  table.adopt(known, adopt.owner, adopt.submissionId, context.leaderTime);
  return grantEpoch(table, known, adopt, context);
}

/** Records that the owner in this epoch has answered its job. */
export function applyFinish(
  table: ClaimTable,
  team: TeamName,
  jobId: JobId,
  epoch: OwnershipEpoch,
  leaderTime: Milliseconds,
): void {
  const known = table.find(digestJob(team, jobId));
  if (known === undefined || table.read(known).epoch !== epoch) return;
  table.finish(known, leaderTime);
}

function createClaim(
  table: ClaimTable,
  key: Digest,
  claim: ClaimRequest,
  context: ClaimContext,
): ClaimOutcome {
  const { index, leaderTime, retention, roster } = context;
  const { submittedAt } = claim;
  if (submittedAt !== undefined && submittedAt <= table.completeSince) {
    return refuse(ClaimRefusal.TooOld);
  }
  if (table.size >= retention.maximumClaims) {
    return refuse(ClaimRefusal.TableFull);
  }
  const { service, digest, owner, submissionId } = claim;
  table.add(key, {
    service,
    digest,
    claimedAt: index,
    claimedTime: leaderTime,
    rosterVersion: roster.version,
    owner,
    submissionId,
  });
  return {
    kind: ClaimOutcomeKind.Granted,
    epoch: 1,
    submissionId,
    claimedAt: index,
    ageMilliseconds: 0,
    witnesses: [],
    rosterVersion: roster.version,
    finished: false,
  };
}

/** Grants the current epoch, and notes the roster that its owner may place by. */
function grantEpoch(
  table: ClaimTable,
  number: ClaimNumber,
  { service, submissionId }: ClaimRequest,
  { leaderTime, roster }: ClaimContext,
): ClaimGranted {
  const view = table.read(number);
  table.recordGrant(number, roster.version);
  return {
    kind: ClaimOutcomeKind.Granted,
    epoch: view.epoch,
    submissionId: table.wasGrantedTo(number, submissionId)
      ? submissionId
      : table.composeSubmissionPlaceholder(number),
    claimedAt: view.claimedAt,
    ageMilliseconds: leaderTime - view.claimedTime,
    witnesses:
      view.epoch > 1
        ? roster.listWitnesses(service, view.claimedAt, view.rosterVersion)
        : [],
    rosterVersion: roster.version,
    finished: view.isFinished,
  };
}

function reportOwner(view: ClaimView, { roster }: ClaimContext): ClaimHeld {
  return {
    kind: ClaimOutcomeKind.Held,
    epoch: view.epoch,
    owner: view.owner,
    ownerAddress: roster.findOwnerAddress(view.owner),
  };
}

function refuse(reason: ClaimRefusal): ClaimOutcome {
  return { kind: ClaimOutcomeKind.Refused, reason };
}

/** Whether the current epoch was granted to this very adoption, whose answer was lost. */
function isRepeatedAdoption(
  table: ClaimTable,
  known: ClaimNumber,
  view: ClaimView,
  adopt: AdoptRequest,
): boolean {
  return (
    view.epoch === adopt.expectedEpoch + 1 &&
    table.wasGrantedTo(known, adopt.submissionId) &&
    isSameOwner(view.owner, adopt.owner)
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
