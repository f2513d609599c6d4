/** Asks targets that other dispatchers fill to say when a slot is free. */
import { HealthPhase, type TargetEntry } from '@cranberryturn/placement';
import { type Milliseconds, TargetState } from '@cranberryturn/types';

import type { ServicePool } from './active-work.js';
import type { SchedulerContext } from './scheduler-context.js';

const loadRequestIntervalMilliseconds: Milliseconds = 10;
const maximumLoadRequests = 32;

/**
 * A dispatcher hears of a free slot with the results of its own attempts only.
 * While tasks wait, it asks the targets whose slots others hold.
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
