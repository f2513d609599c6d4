/** Lists risks of a plan that an operator should consider before confirming. */
import type {
  ClusterConfiguration,
  ReplicaId,
  ServiceName,
} from '@cranberryturn/types';

import type { ChangePlan } from './assemble-change-plan.js';
import { EffectKind } from './effects.js';
import type { TargetImpact } from './predict-target-impact.js';

/** Kinds of warning. */
export enum WarningKind {
  NoWorkerRemains = 'no-worker-remains',
  EvenControlHosts = 'even-control-hosts',
  NoSpareControlHost = 'no-spare-control-host',
  NoWorkerAffected = 'nobody-affected',
}

/** A risk of a plan. Warnings do not prevent a confirmation. */
export type Warning =
  | {
      readonly kind: WarningKind.NoWorkerRemains;
      readonly service: ServiceName;
    }
  | {
      readonly kind:
        WarningKind.EvenControlHosts | WarningKind.NoSpareControlHost;
      readonly replicas: readonly ReplicaId[];
    }
  | { readonly kind: WarningKind.NoWorkerAffected };

/** Lists the warnings of a plan and its predicted impact on announced targets. */
export function listWarnings(
  plan: ChangePlan,
  impact: TargetImpact,
): readonly Warning[] {
  return [
    ...warnOfServicesWithoutWorkers(plan, impact),
    ...warnOfControlHostCount(plan),
    ...warnOfDrainWithoutWorkers(plan, impact),
  ];
}

/** Returns one sentence that describes the warning. */
export function describeWarning(warning: Warning): string {
  switch (warning.kind) {
    case WarningKind.NoWorkerRemains:
      return `No worker of ${warning.service} remains: its jobs will be refused until one receives work again.`;
    case WarningKind.EvenControlHosts:
      return `${String(warning.replicas.length)} control hosts tolerate no more failures than ${String(warning.replicas.length - 1)} would; use an odd number.`;
    case WarningKind.NoSpareControlHost:
      return 'Control will not survive the loss of one host.';
    case WarningKind.NoWorkerAffected:
      return 'The drain affects no declared or announced worker; check the name.';
  }
}

function warnOfServicesWithoutWorkers(
  { effects }: ChangePlan,
  impact: TargetImpact,
): readonly Warning[] {
  const announced = impact.capacity
    .filter(entry => entry.workersAfter === 0)
    .map(entry => entry.service);
  const announcedServices = new Set(
    impact.capacity.map(entry => entry.service),
  );
  const declared = effects.flatMap(effect =>
    effect.kind === EffectKind.CapacityChanged &&
    effect.workersAfter === 0 &&
    !announcedServices.has(effect.service)
      ? [effect.service]
      : [],
  );
  return [...announced, ...declared].map(service => ({
    kind: WarningKind.NoWorkerRemains,
    service,
  }));
}

function warnOfControlHostCount({
  effects,
  after,
}: ChangePlan): readonly Warning[] {
  const changed = effects.some(
    effect =>
      effect.kind === EffectKind.ControlHostAdded ||
      effect.kind === EffectKind.ControlHostRemoved,
  );
  if (!changed) return [];
  const replicas = listReplicas(after);
  if (replicas.length < 3) {
    return [{ kind: WarningKind.NoSpareControlHost, replicas }];
  }
  if (replicas.length % 2 === 1) return [];
  return [{ kind: WarningKind.EvenControlHosts, replicas }];
}

function warnOfDrainWithoutWorkers(
  { effects }: ChangePlan,
  impact: TargetImpact,
): readonly Warning[] {
  const [onlyEffect] = effects;
  const isSingleDrain =
    effects.length === 1 &&
    (onlyEffect?.kind === EffectKind.RackDrained ||
      onlyEffect?.kind === EffectKind.DataCentreDrained);
  if (!isSingleDrain || impact.stops.length > 0) return [];
  return [{ kind: WarningKind.NoWorkerAffected }];
}

function listReplicas(configuration: ClusterConfiguration): ReplicaId[] {
  return configuration.controlHosts.map(host => host.replicaId);
}
