/** Relates a usage measurement, which arrives late, to the tasks that ran when it was taken. */
import type { TargetEntry } from '@cranberryturn/placement';
import type {
  DeclaredResources,
  Milliseconds,
  TargetLoad,
} from '@cranberryturn/types';

import type { ActiveAttempt } from './active-work.js';
import {
  findOrCreatePool,
  type SchedulerContext,
} from './scheduler-context.js';

interface EndedTask {
  readonly declared: DeclaredResources | undefined;
  readonly startedAt: Milliseconds;
  readonly endedAt: Milliseconds;
}

/** Tasks that ran on a worker since its last measurement. */
export interface UsageHistory {
  /** Start of the record; measurements from before are ignored. */
  readonly since: Milliseconds;
  measuredAt: Milliseconds;
  ended: EndedTask[];
}

/** Measurements closer in time than this are one measurement, reported repeatedly. */
const repeatedMeasurementMilliseconds: Milliseconds = 50;
/** Maximum age of a measurement; sidecars report none that is older. */
const maximumUsageAgeMilliseconds: Milliseconds = 60_000;

/** Records the usage in a load report with the usage model, if the measurement is new. */
export function recordUsage(
  context: SchedulerContext,
  entry: TargetEntry,
  { usage }: TargetLoad,
  now: Milliseconds,
): void {
  if (usage === undefined) return;
  const measuredAt = now - usage.ageMilliseconds;
  const history = findOrCreateHistory(context, entry, now);
  // Tasks that ended before the history began are missing from it.
  if (measuredAt < history.since) return;
  if (measuredAt < history.measuredAt + repeatedMeasurementMilliseconds) return;
  history.measuredAt = measuredAt;
  history.ended = history.ended.filter(task => task.endedAt > measuredAt);
  const running = [...(context.attempts.get(entry) ?? [])].map(attempt => ({
    declared: attempt.task.request.declared,
    startedAt: attempt.startedAt,
  }));
  const tasks = [...history.ended, ...running]
    .filter(task => task.startedAt <= measuredAt)
    .map(task => task.declared);
  findOrCreatePool(context, entry.record.service).usage.record({
    used: usage,
    capacity: entry.record.resources,
    tasks,
    tasksOfOthers: entry.averageSlotsOfOthers,
  });
}

/** Keeps an ended task for measurements that arrive later. */
export function recordEndedTask(
  context: SchedulerContext,
  { target, task, startedAt }: ActiveAttempt,
  endedAt: Milliseconds,
): void {
  const history = context.usageHistories.get(target);
  if (history === undefined) return;
  const { declared } = task.request;
  history.ended.push({ declared, startedAt, endedAt });
  const oldest = endedAt - maximumUsageAgeMilliseconds;
  while ((history.ended[0]?.endedAt ?? endedAt) < oldest) history.ended.shift();
}

function findOrCreateHistory(
  context: SchedulerContext,
  entry: TargetEntry,
  now: Milliseconds,
): UsageHistory {
  const known = context.usageHistories.get(entry);
  if (known !== undefined) return known;
  const created: UsageHistory = {
    since: now,
    measuredAt: Number.NEGATIVE_INFINITY,
    ended: [],
  };
  context.usageHistories.set(entry, created);
  return created;
}
