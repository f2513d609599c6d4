/** Chooses which targets and dispatchers hold sessions with each other. */
import type {
  DataCentreName,
  DispatcherId,
  RackName,
  TargetId,
} from '@cranberryturn/types';

import { computeWeight, hashName } from './rendezvous-hash.js';

/** A target and its failure domains. */
export interface PlannedTarget {
  readonly targetId: TargetId;
  readonly rack: RackName;
  readonly dataCentre: DataCentreName;
}

/** Input of a plan. All targets belong to one service. */
export interface SessionPlanInput {
  readonly targets: readonly PlannedTarget[];
  readonly dispatchers: readonly DispatcherId[];
  /** Number of targets that each dispatcher should have; rounding and rack spread may add to it. */
  readonly targetsPerDispatcher: number;
}

/** Sessions of all targets with all dispatchers, or a subset of dispatchers for each target. */
export type SessionPlan =
  | { readonly kind: SessionPlanKind.FullMesh }
  | {
      readonly kind: SessionPlanKind.Subsets;
      readonly dispatchersByTarget: ReadonlyMap<
        TargetId,
        readonly DispatcherId[]
      >;
    };

/** The kinds of plan. */
export enum SessionPlanKind {
  FullMesh = 'everyone',
  Subsets = 'subsets',
}

interface Candidate {
  readonly dispatcherId: DispatcherId;
  readonly hash: number;
  /** Targets assigned so far. */
  targetCount: number;
  /** Targets assigned so far in the data centre that is being planned. */
  dataCentreTargetCount: number;
}

interface HashedTarget extends PlannedTarget {
  readonly hash: number;
}

const minimumSessionsPerTarget = 2;
const minimumRacksPerDataCentre = 2;

/**
 * Chooses sessions by rendezvous hashing with bounded loads. The same input
 * gives the same plan in every process, independent of its order.
 */
export function planSessions(input: SessionPlanInput): SessionPlan {
  const { targets, dispatchers, targetsPerDispatcher } = input;
  const sessionsPerTarget = Math.max(
    minimumSessionsPerTarget,
    Math.ceil((targetsPerDispatcher * dispatchers.length) / targets.length),
  );
  if (targets.length === 0 || sessionsPerTarget >= dispatchers.length) {
    return { kind: SessionPlanKind.FullMesh };
  }
  const candidates = [...dispatchers].sort().map(composeCandidate);
  const dispatchersByTarget = new Map<TargetId, DispatcherId[]>();
  const limit = Math.ceil(
    (targets.length * sessionsPerTarget) / candidates.length,
  );
  for (const group of groupByDataCentre(targets)) {
    const dataCentreLimit = Math.ceil(
      (group.length * sessionsPerTarget) / candidates.length,
    );
    for (const candidate of candidates) candidate.dataCentreTargetCount = 0;
    for (const target of group) {
      const chosen = chooseDispatchers(
        target,
        candidates,
        sessionsPerTarget,
        candidate =>
          candidate.dataCentreTargetCount < dataCentreLimit &&
          candidate.targetCount < limit,
      );
      dispatchersByTarget.set(target.targetId, chosen);
    }
    spreadOverRacks(group, candidates, dispatchersByTarget);
  }
  return {
    kind: SessionPlanKind.Subsets,
    dispatchersByTarget,
  };
}

function composeCandidate(dispatcherId: DispatcherId): Candidate {
  return {
    dispatcherId,
    hash: hashName(dispatcherId),
    targetCount: 0,
    dataCentreTargetCount: 0,
  };
}

function groupByDataCentre(
  targets: readonly PlannedTarget[],
): HashedTarget[][] {
  const groups = new Map<DataCentreName, HashedTarget[]>();
  const hashed = targets.map(target => ({
    ...target,
    hash: hashName(target.targetId),
  }));
  hashed.sort(
    (left, right) =>
      left.hash - right.hash || (left.targetId < right.targetId ? -1 : 1),
  );
  for (const target of hashed) {
    const group = groups.get(target.dataCentre) ?? [];
    group.push(target);
    groups.set(target.dataCentre, group);
  }
  const names = [...groups.keys()].sort();
  return names.map(name => groups.get(name) ?? []);
}

function chooseDispatchers(
  target: HashedTarget,
  candidates: readonly Candidate[],
  count: number,
  hasRoom: (candidate: Candidate) => boolean,
): DispatcherId[] {
  const ranked = candidates
    .map(candidate => ({
      candidate,
      weight: computeWeight(target.hash, candidate.hash),
    }))
    .sort((left, right) => right.weight - left.weight)
    .map(ranking => ranking.candidate);
  const free = ranked.filter(hasRoom).slice(0, count);
  const others = ranked.filter(candidate => !free.includes(candidate));
  const chosen = [...free, ...others.slice(0, count - free.length)];
  for (const candidate of chosen) {
    candidate.dataCentreTargetCount += 1;
    candidate.targetCount += 1;
  }
  return chosen.map(candidate => candidate.dispatcherId);
}

/** Adds targets to dispatchers that have targets in too few racks of a data centre. */
function spreadOverRacks(
  group: readonly HashedTarget[],
  candidates: readonly Candidate[],
  dispatchersByTarget: ReadonlyMap<TargetId, DispatcherId[]>,
): void {
  const requiredRacks = Math.min(
    minimumRacksPerDataCentre,
    new Set(group.map(target => target.rack)).size,
  );
  for (const candidate of candidates) {
    const racks = new Set(
      group
        .filter(target =>
          dispatchersByTarget
            .get(target.targetId)
            ?.includes(candidate.dispatcherId),
        )
        .map(target => target.rack),
    );
    while (racks.size < requiredRacks) {
      const added = findHighestWeight(
        group.filter(target => !racks.has(target.rack)),
        candidate,
      );
      racks.add(added.rack);
      dispatchersByTarget.get(added.targetId)?.push(candidate.dispatcherId);
      candidate.targetCount += 1;
    }
  }
}

function findHighestWeight(
  targets: readonly HashedTarget[],
  candidate: Candidate,
): HashedTarget {
  return targets.reduce((best, target) =>
    computeWeight(target.hash, candidate.hash) >
    computeWeight(best.hash, candidate.hash)
      ? target
      : best,
  );
}
