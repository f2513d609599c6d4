/** Decides the next change of a group of replicas that forms and mends itself. */
import {
  type Member,
  MemberChangeKind,
  MemberRole,
} from '@cranberryturn/replicated-log';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';

import { type MemberStep, MemberStepKind } from './reconcile-members.js';

/** Silence after which a voter may be removed: longer than an election and a restart. */
export const voterSilence: Milliseconds = 2_500;
/** Silence after which a learner is removed. */
export const learnerSilence: Milliseconds = 4_000;
/** More voters make each commit dearer, and mend nothing more. */
export const mostVoters = 7;

/** A replica that asks to be a member. */
export interface GroupCandidate {
  readonly replicaId: ReplicaId;
  readonly address: string;
}

/** The group as its leader sees it. */
export interface GroupQuestion {
  readonly leader: ReplicaId;
  readonly members: readonly Member[];
  /** Replicas that asked lately, and are not members. */
  readonly candidates: readonly GroupCandidate[];
  /** Time since a member was last heard. */
  readonly silenceOf: (replica: ReplicaId) => Milliseconds;
  /** The group never shrinks below this number of voters by itself. */
  readonly minimumVoters: number;
}

/**
 * Finds the next step. A replica at the address of a member took its place: the disk of that member
 * is gone. Newcomers are added before anybody is removed, so that no majority is ever smaller than
 * needed; a silent voter is removed only where the others are enough.
 */
export function findGroupStep(question: GroupQuestion): MemberStep | undefined {
  return (
    findLostLearner(question) ??
    findPromotion(question) ??
    findAddition(question) ??
    findRemoval(question)
  );
}

function findLostLearner({ members, silenceOf }: GroupQuestion) {
  const lost = members.find(
    ({ replicaId, role }) =>
      role === MemberRole.Learner && silenceOf(replicaId) >= learnerSilence,
  );
  return lost === undefined ? undefined : remove(lost);
}

function findPromotion({ members, silenceOf }: GroupQuestion) {
  const learner = members.find(
    ({ replicaId, role }) =>
      role === MemberRole.Learner && silenceOf(replicaId) < voterSilence,
  );
  if (learner === undefined) return undefined;
  const { replicaId } = learner;
  return change({ kind: MemberChangeKind.Promote, replicaId });
}

function findAddition({ members, candidates }: GroupQuestion) {
  const isKnown = ({ replicaId }: GroupCandidate): boolean =>
    members.some(member => member.replicaId === replicaId);
  const candidate = candidates.find(one => !isKnown(one));
  if (candidate === undefined) return undefined;
  const takesPlace = members.some(
    ({ address }) => address === candidate.address,
  );
  if (members.length >= mostVoters && !takesPlace) return undefined;
  return change({ kind: MemberChangeKind.AddLearner, ...candidate });
}

function findRemoval(question: GroupQuestion): MemberStep | undefined {
  const { members, leader, silenceOf, minimumVoters } = question;
  const voters = members.filter(({ role }) => role === MemberRole.Voter);
  const others = voters.filter(({ replicaId }) => replicaId !== leader);
  const replaced = others.find(voter => isReplaced(voter, members));
  if (replaced !== undefined) return remove(replaced);
  if (voters.length <= minimumVoters) return undefined;
  const silent = others
    .filter(({ replicaId }) => silenceOf(replicaId) >= voterSilence)
    .sort(
      (left, right) => silenceOf(right.replicaId) - silenceOf(left.replicaId),
    );
  const [longest] = silent;
  if (longest === undefined) return undefined;
  return remove(longest);
}

/** Whether a later member has the address of this one. */
function isReplaced(voter: Member, members: readonly Member[]): boolean {
  const later = members.slice(members.indexOf(voter) + 1);
  return later.some(
    ({ address, role }) =>
      address === voter.address && role === MemberRole.Voter,
  );
}

function remove({ replicaId }: Member): MemberStep {
  return change({ kind: MemberChangeKind.Remove, replicaId });
}

function change(
  memberChange: Extract<MemberStep, { kind: MemberStepKind.Change }>['change'],
): MemberStep {
  return { kind: MemberStepKind.Change, change: memberChange };
}
