/** Decides the next change of a group of replicas that forms and mends itself. */
import {
  type Member,
  MemberChangeKind,
  MemberRole,
} from '@cranberryturn/replicated-log';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';

import {
  type MembershipStep,
  MembershipStepKind,
} from './reconcile-members.js';

/** Silence after which a voter may be removed: longer than an election and a restart. */
export const voterSilenceLimitMilliseconds: Milliseconds = 2_500;
/** Silence after which a learner is removed. */
export const learnerSilenceLimitMilliseconds: Milliseconds = 4_000;
/** More voters make each commit dearer, and mend nothing more. */
export const maximumVoters = 7;

/** A replica that asks to be a member. */
export interface JoiningReplica {
  readonly replicaId: ReplicaId;
  readonly address: string;
}

/** The group as its leader sees it. */
export interface GroupView {
  readonly leader: ReplicaId;
  readonly members: readonly Member[];
  /** Replicas that asked lately, and are not members. */
  readonly candidates: readonly JoiningReplica[];
  /** Time since a member was last heard. */
  readonly measureSilence: (replica: ReplicaId) => Milliseconds;
  /** The group never shrinks below this number of voters by itself. */
  readonly minimumVoters: number;
}

/**
 * Finds the next step. A replica at the address of a member took its place: the disk of that member
 * is gone. Newcomers are added before anybody is removed, so that no majority is ever smaller than
 * needed; a silent voter is removed only where the others are enough.
 */
export function findGroupStep(view: GroupView): MembershipStep | undefined {
  return (
    findLearnerRemoval(view) ??
    findPromotion(view) ??
    findAddition(view) ??
    findVoterRemoval(view)
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

function findPromotion({ members, measureSilence }: GroupView) {
  const learner = members.find(
    ({ replicaId, role }) =>
      role === MemberRole.Learner &&
      measureSilence(replicaId) < voterSilenceLimitMilliseconds,
  );
  if (learner === undefined) return undefined;
  const { replicaId } = learner;
  return composeChange({ kind: MemberChangeKind.Promote, replicaId });
}

function findAddition({ members, candidates }: GroupView) {
  const isKnown = ({ replicaId }: JoiningReplica): boolean =>
    members.some(member => member.replicaId === replicaId);
  const candidate = candidates.find(one => !isKnown(one));
  if (candidate === undefined) return undefined;
  const isReplacement = members.some(
    ({ address }) => address === candidate.address,
  );
  if (members.length >= maximumVoters && !isReplacement) return undefined;
  return composeChange({ kind: MemberChangeKind.AddLearner, ...candidate });
}

function findVoterRemoval(view: GroupView): MembershipStep | undefined {
  const { members, leader, measureSilence, minimumVoters } = view;
  const voters = members.filter(({ role }) => role === MemberRole.Voter);
  const others = voters.filter(({ replicaId }) => replicaId !== leader);
  const replaced = others.find(voter => isReplaced(voter, members));
  if (replaced !== undefined) return composeRemoval(replaced);
  if (voters.length <= minimumVoters) return undefined;
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

/** Whether a later member has the address of this one. */
function isReplaced(voter: Member, members: readonly Member[]): boolean {
  const later = members.slice(members.indexOf(voter) + 1);
  return later.some(
    ({ address, role }) =>
      address === voter.address && role === MemberRole.Voter,
  );
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
