/** Finds what an operator should weigh before confirming a plan. */
import type {
  ClusterConfiguration,
  ReplicaId,
  ServiceName,
} from '@cranberryturn/types';

import type { ChangePlan } from './assemble-change-plan.js';
import { EffectKind } from './effects.js';
import type { TargetImpact } from './observe-targets.js';

/** The kinds of warning. */
export enum WarningKind {
  NoWorkerRemains = 'no-worker-remains',
  EvenControlHosts = 'even-control-hosts',
  NoSpareControlHost = 'no-spare-control-host',
  NobodyAffected = 'nobody-affected',
}

/** Something to weigh before confirming. */
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
  | { readonly kind: WarningKind.NobodyAffected };

/** Lists the warnings of a plan. */
export function listWarnings(
  plan: ChangePlan,
  observation: TargetImpact,
): readonly Warning[] {
  return [
    ...listEmptiedServices(plan, observation),
    ...checkControlHosts(plan),
    ...checkAffected(plan, observation),
  ];
}

/** One sentence for the operator. */
export function describeWarning(warning: Warning): string {
  switch (warning.kind) {
    case WarningKind.NoWorkerRemains:
      return `No worker of ${warning.service} remains: its jobs will be refused until one receives work again.`;
    case WarningKind.EvenControlHosts:
      return `${String(warning.replicas.length)} control hosts bear no more failures than ${String(warning.replicas.length - 1)}; use an odd number.`;
    case WarningKind.NoSpareControlHost:
      return 'Control will not survive the loss of one host.';
    case WarningKind.NobodyAffected:
      return 'No declared or announced worker is there now; check the name.';
  }
}

function listEmptiedServices(
  { effects }: ChangePlan,
  observation: TargetImpact,
): readonly Warning[] {
  const announced = observation.capacity
    .filter(entry => entry.workersAfter === 0)
    .map(entry => entry.service);
  const live = new Set(observation.capacity.map(entry => entry.service));
  const declared = effects.flatMap(effect =>
    effect.kind === EffectKind.CapacityChanged &&
    effect.workersAfter === 0 &&
    !live.has(effect.service)
      ? [effect.service]
      : [],
  );
  return [...announced, ...declared].map(service => ({
    kind: WarningKind.NoWorkerRemains,
    service,
  }));
}

function checkControlHosts({ effects, after }: ChangePlan): readonly Warning[] {
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

function checkAffected(
  { effects }: ChangePlan,
  observation: TargetImpact,
): readonly Warning[] {
  const [only] = effects;
  const drainsOnly =
    effects.length === 1 &&
    (only?.kind === EffectKind.RackDrained ||
      only?.kind === EffectKind.DataCentreDrained);
  if (!drainsOnly || observation.stops.length > 0) return [];
  return [{ kind: WarningKind.NobodyAffected }];
}

function listReplicas(configuration: ClusterConfiguration): ReplicaId[] {
  return configuration.controlHosts.map(host => host.replicaId);
}
