/**
 * Reads the status of a worker when a run should have ended and the renewal that waits for it has brought nothing. A
 * renewal whose reply is lost would otherwise hide all ends, and the capacity that they free, until it times out.
 */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';

const checkIntervalMilliseconds: Milliseconds = 20;
/** A worker reports an end within a few milliseconds; the rest is for a run that takes longer than it was expected to. */
const overdueMilliseconds: Milliseconds = 20;
/** Minimum time between the last status and an additional one. */
const quietMilliseconds: Milliseconds = 50;

/** The runs of one executor, and its view of the worker. */
export interface MissedEnds {
  readonly listActiveRuns: () => readonly ActiveRun[];
  /** When the latest status of the worker arrived. */
  readonly lastStatusAt: () => Milliseconds;
  /** Reads the status of the worker once. */
  readonly readStatus: () => Promise<unknown>;
}

/** Watches the runs until the subscription is cancelled. */
export function watchMissedEnds(
  timers: TimerService,
  { listActiveRuns, lastStatusAt, readStatus }: MissedEnds,
): TimerSubscription {
  let isReading = false;
  return timers.every(checkIntervalMilliseconds, () => {
    const now = timers.now();
    if (isReading || now - lastStatusAt() < quietMilliseconds) return;
    if (!listActiveRuns().some(run => isOverdue(run, now))) return;
    isReading = true;
    void readStatus().finally(() => {
      isReading = false;
    });
  });
}

function isOverdue(
  { phase, startedAt, expectedEndAt, order }: ActiveRun,
  now: Milliseconds,
): boolean {
  if (phase !== RunPhase.Running) return false;
  const endAt = expectedEndAt ?? startedAt + order.estimatedMilliseconds;
  return now >= endAt + overdueMilliseconds;
}
