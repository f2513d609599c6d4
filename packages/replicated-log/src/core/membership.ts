/** Membership changes, made one at a time through the log. */
import {
  ConflictError,
  InvalidInputError,
  TimeoutError,
} from '@cranberryturn/errors';
import type { LogIndex, ReplicaId } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import { LogUnavailableError } from '../log-types.js';
import {
  type AddLearnerChange,
  type AddObserverChange,
  MemberChangeKind,
  MemberRole,
  type Member,
  type MemberChange,
} from '../members.js';
import type { Leadership } from './leadership.js';
import { notLeader } from './proposals.js';
import type { Replica } from './replica.js';

type MemberChangeError =
  LogUnavailableError | TimeoutError | ConflictError | InvalidInputError;

const step = 'change members';

/** Changes one member. Resolves with the index of the entry once the entry is committed. */
export async function changeMembers(
  replica: Replica,
  change: MemberChange,
): Promise<Result<LogIndex, MemberChangeError>> {
  const { leadership } = replica;
  if (leadership === undefined) return err(notLeader(replica));
  if (
    change.kind === MemberChangeKind.MakeStandby &&
    change.replicaId === replica.replicaId
  ) {
    return err(invalidChange(`"${change.replicaId}" leads`));
  }
  const waited = await awaitReadiness(replica, leadership, change);
  if (waited.isErr()) return err(waited.error);
  if (replica.store.membersIndex > replica.commitIndex) {
    return err(changeInProgress());
  }
  const planned = planMemberChange(replica.store.members, change);
  if (planned.isErr()) return err(planned.error);
  const index = leadership.appendMembers(planned.value);
  return await awaitCommit(replica, leadership, index);
}

/** Returns the list of members after a change, or an error when the change is not possible. */
export function planMemberChange(
  members: readonly Member[],
  change: MemberChange,
): Result<readonly Member[], InvalidInputError> {
  const { replicaId } = change;
  const member = members.find(known => known.replicaId === replicaId);
  switch (change.kind) {
    case MemberChangeKind.AddLearner:
      return planAddition(members, change, MemberRole.Learner);
    case MemberChangeKind.AddObserver:
      return planAddition(members, change, MemberRole.Observer);
    case MemberChangeKind.Promote:
      if (member === undefined) return err(notMember(replicaId));
      return planPromotion(members, member);
    case MemberChangeKind.Remove:
      if (member === undefined) return err(notMember(replicaId));
      return planRemoval(members, member);
    case MemberChangeKind.MakeLearner:
      if (member === undefined) return err(notMember(replicaId));
      return planLearner(members, member);
    case MemberChangeKind.MakeStandby:
      if (member === undefined) return err(notMember(replicaId));
      return planRemoval(members, member).map(() =>
        replaceMember(members, member, {
          ...member,
          role: MemberRole.Observer,
          isStandby: true,
        }),
      );
    case MemberChangeKind.SetDataCentre: {
      if (member === undefined) return err(notMember(replicaId));
      const { dataCentre } = change;
      return ok(replaceMember(members, member, { ...member, dataCentre }));
    }
  }
}

/** Leaves out the fields that are not set, so that the records of earlier versions stay the same. */
function planAddition(
  members: readonly Member[],
  change: AddLearnerChange | AddObserverChange,
  role: MemberRole,
): Result<readonly Member[], InvalidInputError> {
  const { replicaId, address, dataCentre } = change;
  if (members.some(known => known.replicaId === replicaId)) {
    return err(invalidChange(`"${replicaId}" is already a member`));
  }
  const standby =
    change.kind === MemberChangeKind.AddObserver && change.isStandby === true
      ? { isStandby: true as const }
      : {};
  const site = dataCentre === undefined ? {} : { dataCentre };
  return ok([...members, { replicaId, role, address, ...site, ...standby }]);
}

function planPromotion(
  members: readonly Member[],
  member: Member,
): Result<readonly Member[], InvalidInputError> {
  if (member.role === MemberRole.Observer) {
    return err(
      invalidChange(
        `"${member.replicaId}" is an observer, which cannot become a voter`,
      ),
    );
  }
  const others = members.filter(known => known !== member);
  return ok([...others, { ...member, role: MemberRole.Voter }]);
}

function planRemoval(
  members: readonly Member[],
  member: Member,
): Result<readonly Member[], InvalidInputError> {
  const others = members.filter(known => known !== member);
  if (!others.some(known => known.role === MemberRole.Voter)) {
    return err(invalidChange(`"${member.replicaId}" is the last voter`));
  }
  return ok(others);
}

function planLearner(
  members: readonly Member[],
  member: Member,
): Result<readonly Member[], InvalidInputError> {
  const { isStandby, ...rest } = member;
  if (isStandby !== true) {
    return err(invalidChange(`"${member.replicaId}" is not a standby`));
  }
  const learner = { ...rest, role: MemberRole.Learner };
  return ok(replaceMember(members, member, learner));
}

/** Keeps the place in the list, which shows which of two members of a host was added later. */
function replaceMember(
  members: readonly Member[],
  member: Member,
  changed: Member,
): readonly Member[] {
  return members.map(known => (known === member ? changed : known));
}

function notMember(replicaId: ReplicaId): InvalidInputError {
  return invalidChange(`"${replicaId}" is not a member`);
}

/** Waits for the first commit of the term and, for a promotion, until the learner has caught up. */
async function awaitReadiness(
  replica: Replica,
  leadership: Leadership,
  change: MemberChange,
): Promise<Result<void, LogUnavailableError | TimeoutError>> {
  const isReady = (): boolean =>
    replica.commitIndex >= leadership.firstIndex &&
    isCaughtUp(replica, leadership, change);
  await leadership.changed.waitUntil(
    () => !leadership.isActive || isReady(),
    change.kind === MemberChangeKind.Promote
      ? replica.tuning.promoteTimeout
      : replica.tuning.proposeTimeout,
  );
  if (!leadership.isActive) return err(notLeader(replica));
  if (!isReady()) return err(notReady(change));
  return ok();
}

function isCaughtUp(
  replica: Replica,
  leadership: Leadership,
  change: MemberChange,
): boolean {
  if (change.kind !== MemberChangeKind.Promote) return true;
  const peer = leadership.peers.get(change.replicaId);
  // `planMemberChange` reports a replica that is not a peer.
  if (peer === undefined) return true;
  return peer.matchIndex >= replica.commitIndex;
}

async function awaitCommit(
  replica: Replica,
  leadership: Leadership,
  index: LogIndex,
): Promise<Result<LogIndex, LogUnavailableError | TimeoutError>> {
  await leadership.changed.waitUntil(
    () => !leadership.isActive || replica.commitIndex >= index,
    replica.tuning.proposeTimeout,
  );
  if (replica.commitIndex >= index && replica.term === leadership.term) {
    return ok(index);
  }
  if (!leadership.isActive) return err(outcomeUnknown());
  return err(notCommitted());
}

function invalidChange(reason: string): InvalidInputError {
  return new InvalidInputError(
    `The members were not changed: ${reason}. Check the list of members in the status of control.`,
    { step },
  );
}

function changeInProgress(): ConflictError {
  return new ConflictError(
    'Another membership change is not committed yet. Retry once it is committed.',
    { step },
  );
}

function notReady(change: MemberChange): TimeoutError {
  return new TimeoutError(
    `The members were not changed: "${change.replicaId}" has not synced the whole log yet, or no majority of voters answers. Check that its host is running, and retry.`,
    { step, peer: change.replicaId },
  );
}

function outcomeUnknown(): LogUnavailableError {
  return new LogUnavailableError(
    'This replica lost leadership before the membership change was committed; the change may still be committed. Check the status of control.',
    { step },
    true,
  );
}

function notCommitted(): TimeoutError {
  return new TimeoutError(
    'The membership change was not committed in time; it may still be committed. Check that a majority of control hosts is running.',
    { step },
  );
}
