/** What the leader sees of its group when it plans a membership change. */
import {
  type Member,
  type MemberChange,
  MemberRole,
} from '@cranberryturn/replicated-log';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';

import type { JoiningReplica } from './peer-protocol.js';
import {
  type MembershipStep,
  MembershipStepKind,
} from './reconcile-members.js';
import type { ToleratedLosses } from './tolerated-losses.js';

/**
 * Silence after which a voter may be removed; longer than an election and a restart of its process.
 */
export const voterSilenceLimitMilliseconds: Milliseconds = 2_500;
/** Silence after which a voter is suspected to be lost; several heartbeats. */
export const suspectedSilenceMilliseconds: Milliseconds = 500;
/** Silence after which a learner or an observer is removed. */
export const learnerSilenceLimitMilliseconds: Milliseconds = 4_000;
/** More voters raise the cost of each commit and do not make the group easier to repair. */
export const maximumVoters = 7;
/** Each observer costs the leader heartbeats and a copy of each entry; standbys count apart. */
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
  readonly losses: ToleratedLosses;
}

/** Whether a member votes or is about to. */
export function isElector({ role }: Member): boolean {
  return role !== MemberRole.Observer;
}

/**
 * Members that vote or are about to, that were heard lately, and whose host has not asked to join
 * under another identity.
 */
export function listAvailableElectors(view: GroupView): readonly Member[] {
  const { members } = view;
  const newcomers = listNewcomers(view);
  return members.filter((member, index) => {
    const later = [...members.slice(index + 1), ...newcomers];
    const isReplaced = later.some(({ address }) => address === member.address);
    return isElector(member) && isHeard(view, member) && !isReplaced;
  });
}

/** Whether a member was heard within the time after which a voter may be removed. */
export function isHeard(
  { leader, measureSilence }: GroupView,
  { replicaId }: Member,
): boolean {
  return (
    replicaId === leader ||
    measureSilence(replicaId) < voterSilenceLimitMilliseconds
  );
}

/** Voters other than the leader. */
export function listOtherVoters({
  members,
  leader,
}: GroupView): readonly Member[] {
  return members.filter(
    ({ replicaId, role }) => role === MemberRole.Voter && replicaId !== leader,
  );
}

/** Whether a member missed several heartbeats. */
export function isSuspected(
  { measureSilence }: GroupView,
  { replicaId }: Member,
): boolean {
  return measureSilence(replicaId) >= suspectedSilenceMilliseconds;
}

/**
 * Data centre of a host. One that states none counts as a data centre of its own. All hosts count
 * as one where no loss of a data centre is to be tolerated, so that the spread does not matter.
 */
export function findDataCentre(
  { losses }: Pick<GroupView, 'losses'>,
  { address, dataCentre }: Pick<Member, 'address' | 'dataCentre'>,
): string {
  if (losses.dataCentres === 0) return '';
  return dataCentre ?? `host ${address}`;
}

/** Candidates that are not members yet. */
export function listNewcomers({
  members,
  candidates,
}: GroupView): readonly JoiningReplica[] {
  return candidates.filter(
    ({ replicaId }) => !members.some(member => member.replicaId === replicaId),
  );
}

/** Composes the step that makes a change. */
export function composeStep(change: MemberChange): MembershipStep {
  return { kind: MembershipStepKind.Change, change };
}
