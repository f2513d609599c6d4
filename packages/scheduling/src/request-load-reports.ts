/** Requests load reports from targets whose slots other dispatchers hold. */
import { HealthPhase, type TargetEntry } from '@cranberryturn/placement';
import { type Milliseconds, TargetState } from '@cranberryturn/types';

import type { ServicePool } from './active-work.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Minimum time between two rounds of requests of one service. */
const loadRequestIntervalMilliseconds: Milliseconds = 10;
/** Maximum number of requests in one round. */
const maximumLoadRequests = 32;

/**
 * Requests one report from each target that other dispatchers fill, while tasks wait and no slot is free.
 * Without a request, a dispatcher learns of free slots only with the results of its own attempts.
 */
export function requestLoadReports(
  context: SchedulerContext,
  pool: ServicePool,
  now: Milliseconds,
): void {
  const { sender } = context.options;
  if (sender.askForLoad === undefined) return;
  if (pool.queuedTasks === 0 || pool.index.hasFreeSlots()) return;
  if (now - pool.loadRequestedAt < loadRequestIntervalMilliseconds) return;
  pool.loadRequestedAt = now;
  let asked = 0;
  for (const entry of pool.index.entries()) {
    if (!isFilledByOthers(entry)) continue;
    entry.isLoadRequested = true;
    sender.askForLoad(entry.record);
    asked += 1;
    if (asked >= maximumLoadRequests) return;
  }
}

function isFilledByOthers(entry: TargetEntry): boolean {
  if (entry.isLoadRequested || entry.slotsOfOthers === 0) return false;
  if (entry.state !== TargetState.Active) return false;
  if (entry.draining || entry.isWithdrawn) return false;
  return entry.health.phase !== HealthPhase.Ejected;
}
