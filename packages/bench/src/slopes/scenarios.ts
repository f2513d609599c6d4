/** The scenarios from which docs/CAPACITY.md is computed. */
import { WorkUnit } from './reading.js';
import { FirstSide, type Scenario } from './scenario.js';

/** All scenarios. Names, dimensions and descriptions are part of saved results. */
export const scenarios: readonly Scenario[] = [
  {
    name: 'held-memory',
    role: 'runtime',
    dimension: 'mebibytes held',
    description:
      'a bare process that only holds memory: the base of the runtime, and a check of the measurement',
    sizes: [0, 8, 32, 64],
    unit: WorkUnit.Second,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/hold-memory.js')).holdMemory,
  },
  {
    name: 'sidecar-sessions',
    role: 'sidecar',
    dimension: 'dispatchers',
    description: 'an idle sidecar, each second, against its dispatchers',
    sizes: [1, 4, 8, 16, 32],
    unit: WorkUnit.Second,
    first: FirstSide.Counterpart,
    loadMeasured: async () =>
      (await import('./sides/idle-sidecar.js')).startIdleSidecar,
    loadCounterpart: async () =>
      (await import('./sides/idle-dispatchers.js')).startIdleDispatchers,
  },
  {
    name: 'sidecar-starts',
    role: 'sidecar',
    dimension: 'remembered tasks',
    description: 'a sidecar that has run this number of tasks, each task',
    sizes: [1_000, 4_000, 8_000, 16_000],
    unit: WorkUnit.Task,
    first: FirstSide.Counterpart,
    loadMeasured: async () =>
      (await import('./sides/busy-sidecar.js')).startBusySidecar,
    loadCounterpart: async () =>
      (await import('./sides/busy-dispatcher.js')).startBusyDispatcher,
  },
  {
    name: 'dispatcher-sidecars',
    role: 'dispatcher',
    dimension: 'sidecars',
    description: 'an idle dispatcher, each second, against its sidecars',
    sizes: [100, 400, 800, 1_600],
    unit: WorkUnit.Second,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-dispatcher.js')).startIdleDispatcher,
    loadCounterpart: async () =>
      (await import('./sides/many-sidecars.js')).startManySidecars,
  },
  {
    name: 'dispatcher-tasks',
    role: 'dispatcher',
    dimension: 'tasks in a job',
    description: 'a dispatcher that serves jobs over 40 sidecars, each job',
    sizes: [1, 20, 50, 100, 200],
    unit: WorkUnit.Job,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-dispatcher.js')).startBusyDispatcher,
    loadCounterpart: async () =>
      (await import('./sides/many-callers.js')).startManyCallers,
  },
  {
    name: 'dispatcher-teams',
    role: 'dispatcher',
    dimension: 'teams',
    description:
      'the scheduler alone, 1,600 targets, tasks of all teams in turn, each task',
    sizes: [1, 24, 49, 98],
    unit: WorkUnit.Task,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-scheduler.js')).startTeams,
  },
  {
    name: 'dispatcher-targets',
    role: 'dispatcher',
    dimension: 'targets',
    description: 'the scheduler alone, one team, each task',
    sizes: [11, 100, 400, 800, 1_600],
    unit: WorkUnit.Task,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-scheduler.js')).startTargets,
  },
  {
    name: 'dispatcher-accelerators',
    role: 'dispatcher',
    dimension: 'targets with accelerators',
    description:
      'the scheduler alone, 1,600 targets, half of the jobs ask for accelerators, each task',
    sizes: [100, 350, 800, 1_600],
    unit: WorkUnit.Task,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-scheduler.js')).startAccelerators,
  },
  {
    name: 'control-claims',
    role: 'control',
    dimension: 'retained claims',
    description:
      'the state of control alone, each claim; bytes are those of the log entry',
    sizes: [100, 1_000, 10_000, 50_000, 100_000],
    unit: WorkUnit.Claim,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-state.js')).startClaims,
  },
  {
    name: 'control-changes',
    role: 'control',
    dimension: 'changes',
    description:
      'the state of control alone, each change; bytes are those of the log entry',
    sizes: [10, 100, 1_000, 10_000],
    unit: WorkUnit.Change,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-state.js')).startChanges,
  },
  {
    name: 'control-roster',
    role: 'control',
    dimension: 'registered workers',
    description:
      'the state of control alone, each registration; bytes are those of the log entry',
    sizes: [100, 400, 1_600, 6_400],
    unit: WorkUnit.Registration,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-state.js')).startRoster,
  },
  {
    name: 'control-replicas',
    role: 'control',
    dimension: 'replicas',
    description:
      'replicas with synced logs in one process, 64 claims at the same time, each claim',
    sizes: [1, 3, 5, 7],
    unit: WorkUnit.Claim,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-replicas.js')).startReplicas,
    loadCounterpart: async () =>
      (await import('./sides/many-claims.js')).startReplicatedClaims,
  },
  {
    name: 'control-followers',
    role: 'control',
    dimension: 'followers',
    description: 'one replica without load, each second, against its followers',
    sizes: [1, 20, 100, 400, 1_000],
    unit: WorkUnit.Second,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-control.js')).startIdleControl,
    loadCounterpart: async () =>
      (await import('./sides/many-followers.js')).startManyFollowers,
  },
  {
    name: 'control-claim-rate',
    role: 'control',
    dimension: 'claims at the same time',
    description: 'one replica with a synced log, each claim',
    sizes: [1, 16, 64, 256],
    unit: WorkUnit.Claim,
    first: FirstSide.Measured,
    loadMeasured: async () =>
      (await import('./sides/measured-control.js')).startClaimingControl,
    loadCounterpart: async () =>
      (await import('./sides/many-claims.js')).startManyClaims,
  },
];

/** Returns the scenario of this name; throws for an unknown name. */
export function findScenario(name: string): Scenario {
  const found = scenarios.find(scenario => scenario.name === name);
  if (found !== undefined) return found;
  const known = scenarios.map(scenario => scenario.name).join(', ');
  throw new Error(`There is no scenario "${name}"; choose one of ${known}.`);
}
