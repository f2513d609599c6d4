/** Timer service for tests, which move time by hand. */
import type { Milliseconds } from '@cranberryturn/types';

import type { TimerService, TimerSubscription } from './timer-service.js';

interface PendingTimer {
  readonly order: number;
  readonly callback: () => void;
  readonly period: Milliseconds | undefined;
  due: Milliseconds;
}

/** A timer service whose time moves only when a test calls `advance`. */
export interface ManualTimerService extends TimerService {
  /** Moves time forward, calls due timers in order, and lets pending promises settle after each. */
  advance(duration: Milliseconds): Promise<void>;
  /** Lets pending promises settle without moving time. */
  settle(): Promise<void>;
  /** Returns the number of active timers. */
  countPendingTimers(): number;
}

const settleRounds = 8;
const wallClockStart: Milliseconds = 1_700_000_000_000;

/** Creates a manual timer service that starts at time 0; the wall clock starts in 2023. */
export function createManualTimerService(): ManualTimerService {
  const pending = new Set<PendingTimer>();
  let now: Milliseconds = 0;
  let nextOrder = 0;

  const subscribe = (
    delay: Milliseconds,
    callback: () => void,
    period: Milliseconds | undefined,
  ): TimerSubscription => {
    const due = now + Math.max(0, delay);
    const timer: PendingTimer = { order: nextOrder++, callback, period, due };
    pending.add(timer);
    return { cancel: () => void pending.delete(timer) };
  };

  const fireTimer = (timer: PendingTimer): void => {
    now = Math.max(now, timer.due);
    if (timer.period === undefined) {
      pending.delete(timer);
    } else {
      timer.due += timer.period;
    }
    timer.callback();
  };

  const advance = async (duration: Milliseconds): Promise<void> => {
    const end = now + duration;
    await settle();
    for (;;) {
      const next = findEarliestTimer(pending, end);
      if (next === undefined) break;
      fireTimer(next);
      await settle();
    }
    now = end;
  };

  return {
    now: () => now,
    wallClock: () => wallClockStart + now,
    after: (delay, callback) => subscribe(delay, callback, undefined),
    afterPendingEvents: callback => subscribe(0, callback, undefined),
    every: (period, callback) =>
      subscribe(period, callback, Math.max(1, period)),
    advance,
    settle,
    countPendingTimers: () => pending.size,
  };
}

function findEarliestTimer(
  pending: ReadonlySet<PendingTimer>,
  end: Milliseconds,
): PendingTimer | undefined {
  let earliest: PendingTimer | undefined;
  for (const timer of pending) {
    if (timer.due > end) continue;
    if (earliest === undefined || isDueBefore(timer, earliest)) {
      earliest = timer;
    }
  }
  return earliest;
}

function isDueBefore(left: PendingTimer, right: PendingTimer): boolean {
  return (
    left.due < right.due || (left.due === right.due && left.order < right.order)
  );
}

async function settle(): Promise<void> {
  for (let round = 0; round < settleRounds; round += 1) {
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
  }
}
