/** Applies committed claims, adoptions and finish reports to the claim table. */
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

/** The parts of the roster on which claims depend. */
export interface ClaimRoster {
  readonly version: number;
  /** Returns undefined unless this run of the dispatcher is the registered one. */
  findOwnerAddress(owner: DispatcherIdentity): NetworkAddress | undefined;
  /** Returns sidecar runs that may have started tasks: registered up to `until` and not retired before `since`. */
  listWitnesses(
    service: ServiceName,
    since: LogIndex,
    until: LogIndex,
  ): TargetIdentity[];
}

/** Inputs of an outcome besides the table and the request. Identical on all replicas. */
export interface ClaimContext {
  readonly index: LogIndex;
  /** Wall-clock time of the leader in the log entry, in milliseconds. */
  readonly leaderTime: Milliseconds;
  readonly roster: ClaimRoster;
  readonly retention: ClaimRetention;
}

/** Claims a job. Idempotent: the current owner gets the current epoch again. */
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

/** Transfers a job to a new owner in the next epoch, if the current epoch is the expected one. */
export function applyAdoption(
  table: ClaimTable,
  adopt: AdoptRequest,
  context: ClaimContext,
): ClaimOutcome {
  const known = table.find(digestJob(adopt.team, adopt.jobId));
  // The claim was dropped, so it is unknown which tasks have started.
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

/** Records that the owner in this epoch has answered the job. Reports of earlier epochs are ignored. */
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

/** Grants the current epoch and records the roster version by which the owner places tasks. */
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

/** Whether the current epoch was granted to this same adoption, which was retried because its answer was lost. */
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
