/** Plans which hosts with a disk vote, so that the voters are spread over data centres. */
import {
  type Member,
  type MemberChange,
  MemberChangeKind,
  MemberRole,
} from '@cranberryturn/replicated-log';

import {
  findDataCentre,
  type GroupView,
  isHeard,
  isSuspected,
  listAvailableElectors,
  listNewcomers,
  listOtherVoters,
  maximumVoters,
} from './group-view.js';
import type { JoiningReplica } from './peer-protocol.js';
import {
  chooseVoters,
  countByDataCentre,
  countHosts,
  type HostLayout,
} from './tolerated-losses.js';

/** The voters that the leader aims at, and what there is. */
export interface VoterPlan {
  /** Members that vote or are about to, and can. */
  readonly electors: readonly Member[];
  /** Standbys and newcomers that could vote; a standby has the log already, so it comes first. */
  readonly standbys: readonly Member[];
  readonly newcomers: readonly JoiningReplica[];
  readonly wanted: HostLayout;
  readonly findDataCentre: (host: Member | JoiningReplica) => string;
}

/** Chooses the voters among the hosts with a disk that can be reached. */
export function planVoters(view: GroupView): VoterPlan {
  const electors = listAvailableElectors(view);
  const newcomers = listNewcomers(view).filter(
    ({ isObserver }) => isObserver !== true,
  );
  const standbys = view.members.filter(
    member =>
      member.isStandby === true &&
      isHeard(view, member) &&
      !newcomers.some(({ address }) => address === member.address),
  );
  const find = (host: Member | JoiningReplica): string =>
    findDataCentre(view, host);
  const voters = electors.filter(({ role }) => role === MemberRole.Voter);
  const present = {
    voters: countByDataCentre(voters.map(find)),
    electors: countByDataCentre(electors.map(find)),
  };
  const wanted = chooseVoters({
    hosts: countByDataCentre(
      [...electors, ...standbys, ...newcomers].map(find),
    ),
    losses: view.losses,
    maximumVoters,
    rank: (dataCentre, count) =>
      Number((present.voters.get(dataCentre) ?? 0) > count) +
      Number((present.electors.get(dataCentre) ?? 0) > count),
  });
  return { electors, standbys, newcomers, wanted, findDataCentre: find };
}

/** Finds a standby, or else a newcomer with a disk, for a data centre that lacks a voter. */
export function findElectorAddition(plan: VoterPlan): MemberChange | undefined {
  const isWanted = (host: Member | JoiningReplica): boolean =>
    countMissing(plan, plan.findDataCentre(host)) > 0;
  const standby = plan.standbys.find(isWanted);
  if (standby !== undefined) {
    const { replicaId } = standby;
    return { kind: MemberChangeKind.MakeLearner, replicaId };
  }
  const newcomer = plan.newcomers.find(isWanted);
  if (newcomer === undefined) return undefined;
  const { replicaId, address, dataCentre } = newcomer;
  return {
    kind: MemberChangeKind.AddLearner,
    replicaId,
    address,
    ...(dataCentre === undefined ? {} : { dataCentre }),
  };
}

/** Finds a learner in a data centre that has its voters, such as one whose silent voter is back. */
export function findSurplusLearner(plan: VoterPlan): MemberChange | undefined {
  const surplus = plan.electors.findLast(
    member =>
      member.role === MemberRole.Learner &&
      countMissing(plan, plan.findDataCentre(member)) < 0,
  );
  if (surplus === undefined) return undefined;
  const { replicaId } = surplus;
  return { kind: MemberChangeKind.MakeStandby, replicaId };
}

/**
 * Finds a voter in a data centre with too many of them. It becomes a standby once its successor
 * votes, or with a successor at hand where the group already has as many voters as it may have.
 */
export function findSurplusVoter(
  view: GroupView,
  plan: VoterPlan,
): MemberChange | undefined {
  const others = listOtherVoters(view);
  if (others.some(member => isSuspected(view, member))) return undefined;
  const voters = others.length + 1;
  const hasSuccessor =
    voters >= maximumVoters &&
    plan.electors.some(
      member =>
        member.role === MemberRole.Learner && !isSuspected(view, member),
    );
  const isOneTooMany =
    voters > countHosts(plan.wanted) && voters > view.minimumVoters;
  if (!isOneTooMany && !hasSuccessor) return undefined;
  const surplus = others.findLast(
    member => countMissing(plan, plan.findDataCentre(member)) < 0,
  );
  if (surplus === undefined) return undefined;
  const { replicaId } = surplus;
  return { kind: MemberChangeKind.MakeStandby, replicaId };
}

/** How many electors a data centre lacks; negative when it has too many. */
function countMissing(plan: VoterPlan, dataCentre: string): number {
  const present = plan.electors.filter(
    member => plan.findDataCentre(member) === dataCentre,
  ).length;
  return (plan.wanted.get(dataCentre) ?? 0) - present;
}
