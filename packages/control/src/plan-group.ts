/** Plans the membership changes of a control group that forms and repairs itself. */
import {
  type Member,
  MemberChangeKind,
  MemberRole,
} from '@cranberryturn/replicated-log';

import {
  composeStep,
  type GroupView,
  isHeard,
  learnerSilenceLimitMilliseconds,
  listAvailableElectors,
  listNewcomers,
  maximumVoters,
  suspectedSilenceMilliseconds,
  voterSilenceLimitMilliseconds,
} from './group-view.js';
import { findObserverAddition, findObserverRemoval } from './plan-observers.js';
import type { MembershipStep } from './reconcile-members.js';

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
    findSurplusLearner(view) ??
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
  const voters = listOtherVoters(view).length + 1;
  if (isSuspected || voters >= maximumVoters) return undefined;
  const { replicaId } = learner;
  return composeStep({ kind: MemberChangeKind.Promote, replicaId });
}

function listHeardLearners(view: GroupView): readonly Member[] {
  return view.members.filter(
    member => member.role === MemberRole.Learner && isHeard(view, member),
  );
}

/** Voters other than the leader. */
function listOtherVoters({ members, leader }: GroupView): readonly Member[] {
  return members.filter(
    ({ replicaId, role }) => role === MemberRole.Voter && replicaId !== leader,
  );
}

/** Finds a standby, or else a newcomer with a disk, that becomes a learner while a vote is free. */
function findAddition(view: GroupView): MembershipStep | undefined {
  if (listAvailableElectors(view).length >= maximumVoters) return undefined;
  const standby = view.members.find(
    member => member.isStandby === true && isHeard(view, member),
  );
  if (standby !== undefined) {
    const { replicaId } = standby;
    return composeStep({ kind: MemberChangeKind.MakeLearner, replicaId });
  }
  const newcomer = listNewcomers(view).find(
    ({ isObserver }) => isObserver !== true,
  );
  if (newcomer === undefined) return undefined;
  const { replicaId, address } = newcomer;
  return composeStep({ kind: MemberChangeKind.AddLearner, replicaId, address });
}

/** Finds a learner for which no vote is free any more, since the voter that was silent is back. */
function findSurplusLearner(view: GroupView): MembershipStep | undefined {
  const electors = listAvailableElectors(view);
  if (electors.length <= maximumVoters) return undefined;
  const surplus = electors.findLast(({ role }) => role === MemberRole.Learner);
  if (surplus === undefined) return undefined;
  const { replicaId } = surplus;
  return composeStep({ kind: MemberChangeKind.MakeStandby, replicaId });
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
  return composeStep({ kind: MemberChangeKind.Remove, replicaId });
}
