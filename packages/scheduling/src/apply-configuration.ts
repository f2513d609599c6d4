/** Applies the configuration to limits, weights and targets. */
import type {
  LimitGate,
  LimitKey,
  SharingDispatchers,
} from '@cranberryturn/admission';
import type { TargetEntry } from '@cranberryturn/placement';
import {
  type ClusterConfiguration,
  type Milliseconds,
  WorkerState,
} from '@cranberryturn/types';

import { placeTasks } from './place-tasks.js';
import {
  findPool,
  findTeamGate,
  type SchedulerContext,
} from './scheduler-context.js';

const usedShareThatBorrows = 0.8;

/** Applies a configuration that several dispatchers share. */
export function applyConfiguration(
  context: SchedulerContext,
  configuration: ClusterConfiguration,
  sharing: SharingDispatchers,
): void {
  context.configuration = configuration;
  context.dispatchers = Math.max(1, sharing.count);
  for (const service of configuration.services) {
    const pool = findPool(context, service.service);
    pool.configuration = service;
    pool.budget.changePercent(service.retryBudgetPercent);
  }
  for (const { team, weight } of configuration.teams) {
    findTeamGate(context, team);
    for (const pool of context.pools.values())
      pool.queue.changeWeight(team, weight);
  }
  context.ledger.applyLimits(collectLimits(configuration), sharing);
  applyShares(context);
  for (const runs of context.targets.values()) {
    for (const entry of runs.values()) applyToTarget(context, entry);
  }
  for (const pool of context.pools.values()) placeTasks(context, pool);
}

/** Applies what operators decided about one target. */
export function applyToTarget(
  context: SchedulerContext,
  entry: TargetEntry,
): void {
  const { workers, drainedRacks, drainedDataCentres } = context.configuration;
  const { record } = entry;
  const worker = workers.find(
    one => one.targetId === record.targetId && one.service === record.service,
  );
  const active = worker === undefined || worker.state === WorkerState.Active;
  entry.withdrawn =
    !active ||
    drainedRacks.includes(record.rack) ||
    drainedDataCentres.includes(record.dataCentre);
  const pool = findPool(context, record.service);
  const now = context.options.timers.now();
  const slots = Math.min(worker?.slots ?? record.slots, record.connections);
  pool.index.changeSlots(entry, slots, now);
}

/** Takes the present shares of all limits from the ledger, and tells it the demands. */
export function applyShares(context: SchedulerContext): void {
  const now = context.options.timers.now();
  for (const pool of context.pools.values()) {
    const key = `service/${pool.service}`;
    applyShare(context, pool.gate, key, pool.queuedTasks, now);
  }
  for (const [team, gate] of context.teams) {
    let queued = 0;
    for (const pool of context.pools.values())
      queued += pool.backlogs.get(team)?.tasks ?? 0;
    applyShare(context, gate, `team/${team}`, queued, now);
  }
}

function applyShare(
  context: SchedulerContext,
  gate: LimitGate,
  key: LimitKey,
  queued: number,
  now: Milliseconds,
): void {
  const { ledger } = context;
  const starts = gate.measureStartsPerSecond(now);
  const full = gate.running >= gate.concurrencyShare;
  const fast = starts >= gate.startsPerSecondShare * usedShareThatBorrows;
  const { running } = gate;
  ledger.reportDemand(
    `${key}/concurrency`,
    running,
    full ? running + queued : running,
  );
  ledger.reportDemand(`${key}/starts`, starts, fast ? starts + queued : starts);
  gate.concurrencyShare = ledger.held(`${key}/concurrency`);
  gate.changeStartsPerSecond(ledger.held(`${key}/starts`), now);
}

function collectLimits(
  configuration: ClusterConfiguration,
): ReadonlyMap<LimitKey, number> {
  const limits = new Map<LimitKey, number>();
  const add = (key: LimitKey, limit: number | undefined): void => {
    if (limit !== undefined) limits.set(key, limit);
  };
  for (const one of configuration.services) {
    add(`service/${one.service}/concurrency`, one.concurrencyLimit);
    add(`service/${one.service}/starts`, one.startsPerSecondLimit);
  }
  for (const one of configuration.teams) {
    add(`team/${one.team}/concurrency`, one.concurrencyQuota);
    add(`team/${one.team}/starts`, one.startsPerSecondQuota);
  }
  return limits;
}
