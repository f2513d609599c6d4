/** Asks targets that other dispatchers fill to say when a slot is free. */
import { HealthPhase, type TargetEntry } from '@cranberryturn/placement';
import { type Milliseconds, TargetState } from '@cranberryturn/types';

import type { ServicePool } from './active-work.js';
import type { SchedulerContext } from './scheduler-context.js';

const askPeriodMilliseconds: Milliseconds = 10;
const mostTargetsAsked = 32;

/**
 * A dispatcher hears of a free slot with the results of its own attempts only.
 * While tasks wait, it asks the targets whose slots others hold.
 */
export function askFilledTargets(
  context: SchedulerContext,
  pool: ServicePool,
  now: Milliseconds,
): void {
  const { sender } = context.options;
  if (sender.askForLoad === undefined) return;
  if (pool.queuedTasks === 0 || pool.index.hasFree()) return;
  if (now - pool.askedAt < askPeriodMilliseconds) return;
  pool.askedAt = now;
  let asked = 0;
  for (const entry of pool.index.entries()) {
    if (!isFilledByOthers(entry)) continue;
    entry.asked = true;
    sender.askForLoad(entry.record);
    asked += 1;
    if (asked >= mostTargetsAsked) return;
  }
}

function isFilledByOthers(entry: TargetEntry): boolean {
  if (entry.asked || entry.othersBusy === 0) return false;
  if (entry.state !== TargetState.Active) return false;
  if (entry.draining || entry.withdrawn) return false;
  return entry.health.phase !== HealthPhase.Ejected;
}
