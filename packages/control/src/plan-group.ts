/** Plans the membership changes of a control group that forms and repairs itself. */
import {
  type Member,
  MemberChangeKind,
  MemberRole,
} from '@cranberryturn/replicated-log';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';

import type { JoiningReplica } from './peer-protocol.js';
import {
  type MembershipStep,
  MembershipStepKind,
} from './reconcile-members.js';

/**
 * Silence after which a voter may be removed; longer than an election and a restart of its process.
 */
export const voterSilenceLimitMilliseconds: Milliseconds = 2_500;
/** Silence after which a voter is suspected to be lost; several heartbeats. */
const suspectedSilenceMilliseconds: Milliseconds = 500;
/** Silence after which a learner is removed. */
export const learnerSilenceLimitMilliseconds: Milliseconds = 4_000;
/** More voters raise the cost of each commit and do not make the group easier to repair. */
export const maximumVoters = 7;
/** Each observer costs the leader heartbeats and a copy of each entry. */
export const maximumObservers = 14;

/** The leader's view of the group, the input of each planning step. */
export interface GroupView {
  readonly leader: ReplicaId;
  readonly members: readonly Member[];
  /** Replicas that recently asked to join; current members among them are ignored. */
  readonly candidates: readonly JoiningReplica[];
  /** Time since a member was last heard by the leader. */
  readonly measureSilence: (replica: ReplicaId) => Milliseconds;
  /** Silent voters are removed only while the group has more voters than this. */
  readonly minimumVoters: number;
}

/**
 * Finds the next membership change. A replica that joins with the address of a member replaces that
 * member, whose disk is lost. A lost voter leaves before its successor becomes a voter: with both,
 * the quorum would need more of the intact voters, and the loss of the successor could stop the
 * group for good. A silent voter leaves only while there are more voters than the minimum, or while
 * a learner takes its place. Observers come last, because they do not make the group safer.
 */
export function findGroupStep(view: GroupView): MembershipStep | undefined {
  return (
    findLearnerRemoval(view) ??
    findAddition(view) ??
    findReplacedRemoval(view) ??
    findSilentVoterRemoval(view) ??
    findPromotion(view) ??
    findObserverRemoval(view) ??
    findObserverAddition(view)
  );
}

function findLearnerRemoval({ members, measureSilence }: GroupView) {
  const lost = members.find(
    ({ replicaId, role }) =>
      role === MemberRole.Learner &&
      measureSilence(replicaId) >= learnerSilenceLimitMilliseconds,
  );
  return lost === undefined ? undefined : composeRemoval(lost);
}

/** Finds a learner to promote, unless a voter is suspected: it is heard again or removed first. */
function findPromotion(view: GroupView) {
  const [learner] = listHeardLearners(view);
  if (learner === undefined) return undefined;
  const isSuspected = listOtherVoters(view).some(
    ({ replicaId }) =>
      view.measureSilence(replicaId) >= suspectedSilenceMilliseconds,
  );
  if (isSuspected) return undefined;
  const { replicaId } = learner;
  return composeChange({ kind: MemberChangeKind.Promote, replicaId });
}

function listHeardLearners({
  members,
  measureSilence,
}: GroupView): readonly Member[] {
  return members.filter(
    ({ replicaId, role }) =>
      role === MemberRole.Learner &&
      measureSilence(replicaId) < voterSilenceLimitMilliseconds,
  );
}

/** Voters other than the leader. */
function listOtherVoters({ members, leader }: GroupView): readonly Member[] {
  return members.filter(
    ({ replicaId, role }) => role === MemberRole.Voter && replicaId !== leader,
  );
}

function findAddition({ members, candidates }: GroupView) {
  const candidate = candidates.find(
    one => one.isObserver !== true && !isMember(one, members),
  );
  if (candidate === undefined) return undefined;
  const { replicaId, address } = candidate;
  const durable = members.filter(({ role }) => role !== MemberRole.Observer);
  const isReplacement = durable.some(member => member.address === address);
  if (durable.length >= maximumVoters && !isReplacement) return undefined;
  return composeChange({
    kind: MemberChangeKind.AddLearner,
    replicaId,
    address,
  });
}

function findObserverAddition({ members, candidates }: GroupView) {
  const candidate = candidates.find(
    one => one.isObserver === true && !isMember(one, members),
  );
  if (candidate === undefined) return undefined;
  const { replicaId, address } = candidate;
  const observers = members.filter(({ role }) => role === MemberRole.Observer);
  if (observers.length >= maximumObservers) return undefined;
  return composeChange({
    kind: MemberChangeKind.AddObserver,
    replicaId,
    address,
  });
}

/** Removes an observer that is silent, or whose host has announced itself under a new identity. */
function findObserverRemoval({
  members,
  candidates,
  measureSilence,
}: GroupView) {
  const removed = members
    .filter(({ role }) => role === MemberRole.Observer)
    .find(
      ({ replicaId, address }) =>
        measureSilence(replicaId) >= learnerSilenceLimitMilliseconds ||
        candidates.some(
          one => one.address === address && !isMember(one, members),
        ),
    );
  return removed === undefined ? undefined : composeRemoval(removed);
}

function isMember(
  { replicaId }: JoiningReplica,
  members: readonly Member[],
): boolean {
  return members.some(member => member.replicaId === replicaId);
}

/** Removes a voter or learner whose address a member that was added later has. */
function findReplacedRemoval({ members, leader }: GroupView) {
  const replaced = members.find(
    (member, index) =>
      member.replicaId !== leader &&
      members
        .slice(index + 1)
        .some(({ address }) => address === member.address),
  );
  return replaced === undefined ? undefined : composeRemoval(replaced);
}

function findSilentVoterRemoval(view: GroupView): MembershipStep | undefined {
  const { measureSilence, minimumVoters } = view;
  const others = listOtherVoters(view);
  const voterCount = others.length + 1;
  const successors = listHeardLearners(view).length;
  const canSpareOne = voterCount > minimumVoters || successors > 0;
  if (!canSpareOne) return undefined;
  const silent = others
    .filter(
      ({ replicaId }) =>
        measureSilence(replicaId) >= voterSilenceLimitMilliseconds,
    )
    .sort(
      (left, right) =>
        measureSilence(right.replicaId) - measureSilence(left.replicaId),
    );
  const [longest] = silent;
  if (longest === undefined) return undefined;
  return composeRemoval(longest);
}

function composeRemoval({ replicaId }: Member): MembershipStep {
  return composeChange({ kind: MemberChangeKind.Remove, replicaId });
}

function composeChange(
  memberChange: Extract<
    MembershipStep,
    { kind: MembershipStepKind.Change }
  >['change'],
): MembershipStep {
  return { kind: MembershipStepKind.Change, change: memberChange };
}
