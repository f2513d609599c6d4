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
  isSuspected,
  learnerSilenceLimitMilliseconds,
  listOtherVoters,
  maximumVoters,
  voterSilenceLimitMilliseconds,
} from './group-view.js';
import { findObserverAddition, findObserverRemoval } from './plan-observers.js';
import {
  findElectorAddition,
  findSurplusLearner,
  findSurplusVoter,
  planVoters,
} from './plan-voters.js';
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
    findDataCentreChange(view) ??
    findVoterStep(view) ??
    findObserverRemoval(view) ??
    findObserverAddition(view)
  );
}

function findVoterStep(view: GroupView): MembershipStep | undefined {
  const plan = planVoters(view);
  const change = findElectorAddition(plan) ?? findSurplusLearner(plan);
  if (change !== undefined) return composeStep(change);
  const removal = findReplacedRemoval(view) ?? findSilentVoterRemoval(view);
  if (removal !== undefined) return removal;
  const surplus = findSurplusVoter(view, plan);
  return surplus === undefined ? findPromotion(view) : composeStep(surplus);
}

function findLearnerRemoval({ members, measureSilence }: GroupView) {
  const lost = members.find(
    ({ replicaId, role }) =>
      role === MemberRole.Learner &&
      measureSilence(replicaId) >= learnerSilenceLimitMilliseconds,
  );
  return lost === undefined ? undefined : composeRemoval(lost);
}

/**
 * Finds a learner to promote that is not suspected, since the majority would grow without it. None is
 * promoted while a voter is suspected: the voter is heard again or removed first.
 */
function findPromotion(view: GroupView) {
  const learner = listHeardLearners(view).find(
    member => !isSuspected(view, member),
  );
  if (learner === undefined) return undefined;
  const others = listOtherVoters(view);
  if (others.some(member => isSuspected(view, member))) return undefined;
  if (others.length + 1 >= maximumVoters) return undefined;
  const { replicaId } = learner;
  return composeStep({ kind: MemberChangeKind.Promote, replicaId });
}

function listHeardLearners(view: GroupView): readonly Member[] {
  return view.members.filter(
    member => member.role === MemberRole.Learner && isHeard(view, member),
  );
}

/** Finds a member that states another data centre than its record, as founding members do. */
function findDataCentreChange({ members, candidates }: GroupView) {
  for (const { replicaId, dataCentre } of candidates) {
    const member = members.find(known => known.replicaId === replicaId);
    if (member === undefined || dataCentre === undefined) continue;
    if (member.dataCentre === dataCentre) continue;
    const kind = MemberChangeKind.SetDataCentre;
    return composeStep({ kind, replicaId, dataCentre });
  }
  return undefined;
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
