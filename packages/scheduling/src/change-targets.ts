/** Registers targets, applies changes of their state and load, and removes lost ones. */
import { createTargetEntry, type TargetEntry } from '@cranberryturn/placement';
import {
  type TargetLoad,
  type TargetRecord,
  TargetState,
} from '@cranberryturn/types';

import { applyConfigurationToTarget } from './apply-configuration.js';
import { endLostAttempt } from './end-attempts.js';
import { recordLoadReport } from './record-outcomes.js';
import { placeTasks } from './place-tasks.js';
import {
  findOrCreatePool,
  findTarget,
  type SchedulerContext,
} from './scheduler-context.js';

/** Adds a target run, or updates the run when it registers again. Earlier runs of the target get no more tasks. */
export function registerTarget(
  context: SchedulerContext,
  record: TargetRecord,
  load: TargetLoad,
): void {
  const known = findTarget(context, record);
  if (known !== undefined) {
    known.record = record;
    changeTargetState(context, known, TargetState.Active);
    applyLoadReport(context, known, load);
    return;
  }
  const now = context.options.timers.now();
  const tier = isInPreferredDataCentre(context, record) ? 0 : 1;
  const entry = createTargetEntry(record, load, tier, now);
  const runs = context.targets.get(record.targetId) ?? new Map();
  for (const earlierRun of runs.values())
    changeTargetState(context, earlierRun, TargetState.Gone);
  context.targets.set(record.targetId, runs.set(record.incarnation, entry));
  context.attempts.set(entry, new Set());
  const pool = findOrCreatePool(context, record.service);
  pool.index.add(entry, now);
  pool.health.addTarget();
  applyConfigurationToTarget(context, entry);
  placeTasks(context, pool);
}

/** Records a load report and places waiting tasks. */
export function applyLoadReport(
  context: SchedulerContext,
  entry: TargetEntry,
  load: TargetLoad,
): void {
  recordLoadReport(context, entry, load);
  placeTasks(context, findOrCreatePool(context, entry.record.service));
}

/** Changes the state of a target; only active targets get tasks. */
export function changeTargetState(
  context: SchedulerContext,
  entry: TargetEntry,
  state: TargetState,
): void {
  entry.state = state;
  const pool = findOrCreatePool(context, entry.record.service);
  pool.index.update(entry, context.options.timers.now());
}

/** Removes a run that will not return; its attempts end as lost, their outcome unknown. */
export function removeLostTarget(
  context: SchedulerContext,
  entry: TargetEntry,
): void {
  const { targetId, incarnation } = entry.record;
  const pool = findOrCreatePool(context, entry.record.service);
  const runs = context.targets.get(targetId);
  runs?.delete(incarnation);
  if (runs?.size === 0) context.targets.delete(targetId);
  pool.index.remove(entry);
  pool.health.removeTarget(entry);
  pool.backedOffTargets.delete(entry);
  const attempts = [...(context.attempts.get(entry) ?? [])];
  const reason = `Target ${targetId} was lost while it ran the task.`;
  for (const attempt of attempts) endLostAttempt(context, attempt, reason);
  context.attempts.delete(entry);
  context.usageHistories.delete(entry);
}

function isInPreferredDataCentre(
  context: SchedulerContext,
  record: TargetRecord,
): boolean {
  const { dataCentre } = context.options;
  return dataCentre === undefined || dataCentre === record.dataCentre;
}
