/** Applies the cluster configuration to limits, weights and targets. */
import type {
  TaskLimiter,
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
  findOrCreatePool,
  findOrCreateTeamLimiter,
  type SchedulerContext,
} from './scheduler-context.js';

/** Used part of the rate share from which queued tasks count as demand for more. */
const rateBorrowingThreshold = 0.8;

/** Applies a configuration and the dispatchers that share its limits, and places waiting tasks. */
export function applyConfiguration(
  context: SchedulerContext,
  configuration: ClusterConfiguration,
  sharing: SharingDispatchers,
): void {
  context.configuration = configuration;
  context.dispatchers = Math.max(1, sharing.count);
  for (const service of configuration.services) {
    const pool = findOrCreatePool(context, service.service);
    pool.configuration = service;
    pool.retryBudget.setPercent(service.retryBudgetPercent);
  }
  for (const { team, weight } of configuration.teams) {
    findOrCreateTeamLimiter(context, team);
    for (const pool of context.pools.values())
      pool.queue.setWeight(team, weight);
  }
  context.ledger.applyLimits(collectLimits(configuration), sharing);
  applyShares(context);
  for (const runs of context.targets.values()) {
    for (const entry of runs.values())
      applyConfigurationToTarget(context, entry);
  }
  for (const pool of context.pools.values()) placeTasks(context, pool);
}

/** Applies the state, drains and slots that operators set for one target. */
export function applyConfigurationToTarget(
  context: SchedulerContext,
  entry: TargetEntry,
): void {
  const { workers, drainedRacks, drainedDataCentres } = context.configuration;
  const { record } = entry;
  const worker = workers.find(
    one => one.targetId === record.targetId && one.service === record.service,
  );
  const isActive = worker === undefined || worker.state === WorkerState.Active;
  entry.isWithdrawn =
    !isActive ||
    drainedRacks.includes(record.rack) ||
    drainedDataCentres.includes(record.dataCentre);
  const pool = findOrCreatePool(context, record.service);
  const now = context.options.timers.now();
  const slots = Math.min(worker?.slots ?? record.slots, record.connections);
  pool.index.setSlots(entry, slots, now);
}

/** Reports the demand for each limit to the ledger, and sets the limiters to the current shares. */
export function applyShares(context: SchedulerContext): void {
  const now = context.options.timers.now();
  for (const pool of context.pools.values()) {
    const key = `service/${pool.service}`;
    applyShare(context, pool.limiter, key, pool.queuedTasks, now);
  }
  for (const [team, limiter] of context.teams) {
    let queuedTasks = 0;
    for (const pool of context.pools.values())
      queuedTasks += pool.teamBacklogs.get(team)?.tasks ?? 0;
    applyShare(context, limiter, `team/${team}`, queuedTasks, now);
  }
}

function applyShare(
  context: SchedulerContext,
  limiter: TaskLimiter,
  key: LimitKey,
  queuedTasks: number,
  now: Milliseconds,
): void {
  const { ledger } = context;
  const startsPerSecond = limiter.measureStartsPerSecond(now);
  const isAtConcurrencyShare = limiter.running >= limiter.concurrencyShare;
  const isNearRateShare =
    startsPerSecond >= limiter.startsPerSecondShare * rateBorrowingThreshold;
  const { running } = limiter;
  ledger.reportDemand(
    `${key}/concurrency`,
    running,
    isAtConcurrencyShare ? running + queuedTasks : running,
  );
  ledger.reportDemand(
    `${key}/starts`,
    startsPerSecond,
    isNearRateShare ? startsPerSecond + queuedTasks : startsPerSecond,
  );
  limiter.concurrencyShare = ledger.countUsableUnits(`${key}/concurrency`);
  limiter.setStartsPerSecondShare(
    ledger.countUsableUnits(`${key}/starts`),
    now,
  );
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
