/** Plans which targets hold sessions with which dispatchers. */
import type {
  DataCentreName,
  DispatcherId,
  RackName,
  TargetId,
} from '@cranberryturn/types';

/** What the plan needs to know of a target. */
export interface PlannedTarget {
  readonly targetId: TargetId;
  readonly rack: RackName;
  readonly dataCentre: DataCentreName;
}

/** What a plan is computed from. All targets are of one service. */
export interface SessionPlanInput {
  readonly targets: readonly PlannedTarget[];
  readonly dispatchers: readonly DispatcherId[];
  /** Number of targets that each dispatcher should have. */
  readonly targetsPerDispatcher: number;
}

/** The dispatchers of each target, or everybody with everybody. */
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
  /** Targets chosen so far, all and in the data centre at hand. */
  total: number;
  inDataCentre: number;
}

interface HashedTarget extends PlannedTarget {
  readonly hash: number;
}

const fewestSessionsOfTarget = 2;
const fewestRacks = 2;

/**
 * Chooses sessions by rendezvous hashing with bounded loads. The same input
 * gives the same plan everywhere, whatever the order of its parts.
 */
export function planSessions(input: SessionPlanInput): SessionPlan {
  const { targets, dispatchers, targetsPerDispatcher } = input;
  const sessions = Math.max(
    fewestSessionsOfTarget,
    Math.ceil((targetsPerDispatcher * dispatchers.length) / targets.length),
  );
  if (targets.length === 0 || sessions >= dispatchers.length) {
    return { kind: SessionPlanKind.FullMesh };
  }
  const candidates = [...dispatchers].sort().map(composeCandidate);
  const dispatchersOf = new Map<TargetId, DispatcherId[]>();
  const limit = Math.ceil((targets.length * sessions) / candidates.length);
  for (const group of groupByDataCentre(targets)) {
    const groupLimit = Math.ceil((group.length * sessions) / candidates.length);
    for (const candidate of candidates) candidate.inDataCentre = 0;
    for (const target of group) {
      const chosen = choose(
        target,
        candidates,
        sessions,
        one => one.inDataCentre < groupLimit && one.total < limit,
      );
      dispatchersOf.set(target.targetId, chosen);
    }
    spreadOverRacks(group, candidates, dispatchersOf);
  }
  return { kind: SessionPlanKind.Subsets, dispatchersByTarget: dispatchersOf };
}

function composeCandidate(dispatcherId: DispatcherId): Candidate {
  return {
    dispatcherId,
    hash: hashName(dispatcherId),
    total: 0,
    inDataCentre: 0,
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

function choose(
  target: HashedTarget,
  candidates: readonly Candidate[],
  count: number,
  hasRoom: (candidate: Candidate) => boolean,
): DispatcherId[] {
  const ranked = candidates
    .map(candidate => ({
      candidate,
      weight: weigh(target.hash, candidate.hash),
    }))
    .sort((left, right) => right.weight - left.weight)
    .map(one => one.candidate);
  const free = ranked.filter(hasRoom).slice(0, count);
  const others = ranked.filter(one => !free.includes(one));
  const chosen = [...free, ...others.slice(0, count - free.length)];
  for (const candidate of chosen) {
    candidate.inDataCentre += 1;
    candidate.total += 1;
  }
  return chosen.map(one => one.dispatcherId);
}

/** Adds targets where a dispatcher has fewer racks of a data centre than there could be. */
function spreadOverRacks(
  group: readonly HashedTarget[],
  candidates: readonly Candidate[],
  dispatchersOf: ReadonlyMap<TargetId, DispatcherId[]>,
): void {
  const wanted = Math.min(
    fewestRacks,
    new Set(group.map(target => target.rack)).size,
  );
  for (const candidate of candidates) {
    const racks = new Set(
      group
        .filter(target =>
          dispatchersOf.get(target.targetId)?.includes(candidate.dispatcherId),
        )
        .map(target => target.rack),
    );
    while (racks.size < wanted) {
      const added = findHeaviest(
        group.filter(target => !racks.has(target.rack)),
        candidate,
      );
      racks.add(added.rack);
      dispatchersOf.get(added.targetId)?.push(candidate.dispatcherId);
      candidate.total += 1;
    }
  }
}

function findHeaviest(
  targets: readonly HashedTarget[],
  candidate: Candidate,
): HashedTarget {
  return targets.reduce((best, one) =>
    weigh(one.hash, candidate.hash) > weigh(best.hash, candidate.hash)
      ? one
      : best,
  );
}

const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;
const goldenRatio = 0x9e3779b1;

/** FNV-1a over the code units, mixed so that similar names spread. */
function hashName(name: string): number {
  let hash = hashOffset;
  for (let position = 0; position < name.length; position += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(position), hashPrime);
  }
  return mix(hash);
}

function weigh(left: number, right: number): number {
  return mix((left + Math.imul(right, goldenRatio)) | 0);
}

/** The finalizer of MurmurHash3. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
