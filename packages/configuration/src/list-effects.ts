/** Lists the differences between two configurations as effects. */
import {
  type ClusterConfiguration,
  type ServiceName,
  type TargetId,
  type WorkerConfiguration,
  WorkerState,
} from '@cranberryturn/types';

import { type Effect, EffectKind } from './effects.js';

type WorkerIndex = ReadonlyMap<TargetId, WorkerConfiguration>;

/**
 * Returns whether a declared worker receives new work: it is active, and
 * neither its rack nor its data centre is drained.
 */
export function canReceiveWork(
  configuration: ClusterConfiguration,
  worker: Pick<WorkerConfiguration, 'state' | 'rack' | 'dataCentre'>,
): boolean {
  return (
    worker.state === WorkerState.Active &&
    !configuration.drainedRacks.includes(worker.rack) &&
    !configuration.drainedDataCentres.includes(worker.dataCentre)
  );
}

/** Lists the effects in a deterministic order, as they enter the plan's digest. */
export function listEffects(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): readonly Effect[] {
  const workersBefore: WorkerIndex = new Map(
    before.workers.map(worker => [worker.targetId, worker]),
  );
  return [
    ...listDrainEffects(before, after),
    ...after.workers.flatMap(worker => compareWorker(workersBefore, worker)),
    ...after.workers.flatMap(worker =>
      compareWorkReception(before, after, workersBefore, worker),
    ),
    ...listCapacityEffects(before, after),
    ...listServiceEffects(before, after),
    ...listTeamEffects(before, after),
    ...listControlHostEffects(before, after),
    ...listClaimEffects(before, after),
  ];
}

function listDrainEffects(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): readonly Effect[] {
  const added = (left: readonly string[], right: readonly string[]) =>
    right.filter(name => !left.includes(name));
  return [
    ...added(before.drainedRacks, after.drainedRacks).map(rack => ({
      kind: EffectKind.RackDrained as const,
      rack,
    })),
    ...added(after.drainedRacks, before.drainedRacks).map(rack => ({
      kind: EffectKind.RackUndrained as const,
      rack,
    })),
    ...added(before.drainedDataCentres, after.drainedDataCentres).map(
      dataCentre => ({
        kind: EffectKind.DataCentreDrained as const,
        dataCentre,
      }),
    ),
    ...added(after.drainedDataCentres, before.drainedDataCentres).map(
      dataCentre => ({
        kind: EffectKind.DataCentreUndrained as const,
        dataCentre,
      }),
    ),
  ];
}

function compareWorker(
  workersBefore: WorkerIndex,
  after: WorkerConfiguration,
): readonly Effect[] {
  const before = workersBefore.get(after.targetId);
  if (before === undefined) {
    return [{ kind: EffectKind.WorkerDeclared, worker: after }];
  }
  if (isEqual(before, after)) return [];
  return [{ kind: EffectKind.WorkerChanged, before, after }];
}

function compareWorkReception(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
  workersBefore: WorkerIndex,
  worker: WorkerConfiguration,
): readonly Effect[] {
  const { targetId, service } = worker;
  // A target without a declaration receives work unless its rack or data centre is drained.
  const couldReceive = canReceiveWork(
    before,
    workersBefore.get(targetId) ?? { ...worker, state: WorkerState.Active },
  );
  const canReceive = canReceiveWork(after, worker);
  if (couldReceive === canReceive) return [];
  const kind = canReceive ? EffectKind.WorkerResumes : EffectKind.WorkerStops;
  return [{ kind, targetId, service }];
}

function listCapacityEffects(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): readonly Effect[] {
  const services = new Set(
    [...before.workers, ...after.workers].map(worker => worker.service),
  );
  return [...services].sort().flatMap(service => {
    const workersBefore = countWorkersReceivingWork(before, service);
    const workersAfter = countWorkersReceivingWork(after, service);
    if (workersBefore === workersAfter) return [];
    const kind = EffectKind.CapacityChanged as const;
    return [{ kind, service, workersBefore, workersAfter }];
  });
}

function countWorkersReceivingWork(
  configuration: ClusterConfiguration,
  service: ServiceName,
): number {
  return configuration.workers.filter(
    worker =>
      worker.service === service && canReceiveWork(configuration, worker),
  ).length;
}

function listServiceEffects(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): readonly Effect[] {
  const { set, removed } = compareByKey(
    before.services,
    after.services,
    entry => entry.service,
  );
  return [
    ...set.map(pair => ({ kind: EffectKind.ServiceSet as const, ...pair })),
    ...removed.map(({ service }) => ({
      kind: EffectKind.ServiceRemoved as const,
      service,
    })),
  ];
}

function listTeamEffects(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): readonly Effect[] {
  const { set, removed } = compareByKey(
    before.teams,
    after.teams,
    entry => entry.team,
  );
  return [
    ...set.map(pair => ({ kind: EffectKind.TeamSet as const, ...pair })),
    ...removed.map(({ team }) => ({
      kind: EffectKind.TeamRemoved as const,
      team,
    })),
  ];
}

function listControlHostEffects(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): readonly Effect[] {
  const { set, removed } = compareByKey(
    before.controlHosts,
    after.controlHosts,
    entry => entry.replicaId,
  );
  return [
    ...set.map(pair => ({
      kind: EffectKind.ControlHostAdded as const,
      controlHost: pair.after,
    })),
    ...removed.map(({ replicaId }) => ({
      kind: EffectKind.ControlHostRemoved as const,
      replicaId,
    })),
  ];
}

function listClaimEffects(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): readonly Effect[] {
  const { claimRetention } = after;
  if (claimRetention === undefined) return [];
  if (isEqual(before.claimRetention, claimRetention)) return [];
  const kind = EffectKind.ClaimRetentionSet as const;
  return [{ kind, before: before.claimRetention, after: claimRetention }];
}

function compareByKey<Entry>(
  before: readonly Entry[],
  after: readonly Entry[],
  keyOf: (entry: Entry) => string,
): {
  readonly set: readonly {
    readonly before?: Entry | undefined;
    readonly after: Entry;
  }[];
  readonly removed: readonly Entry[];
} {
  const set = after.flatMap(entry => {
    const known = before.find(candidate => keyOf(candidate) === keyOf(entry));
    return isEqual(known, entry) ? [] : [{ before: known, after: entry }];
  });
  const removed = before.filter(
    entry => !after.some(candidate => keyOf(candidate) === keyOf(entry)),
  );
  return { set, removed };
}

function isEqual(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
