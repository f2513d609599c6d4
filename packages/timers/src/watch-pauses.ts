/** Detects that this process stood still: its timers were late, or its clock stood still. */
import type { Milliseconds } from '@cranberryturn/types';

import type { TimerService, TimerSubscription } from './timer-service.js';
import { watchSuspension } from './watch-suspension.js';

const checkInterval: Milliseconds = 250;

/** A running watch. */
export interface PauseWatch extends TimerSubscription {
  /** Returns the number of pauses so far. Also detects one that has only just ended. */
  countPauses(): number;
  /** Whether a pause ended at or after this time. Also detects one that has only just ended. */
  hasPausedSince(time: Milliseconds): boolean;
}

/** Watches for pauses of at least `minimumPause`, which must be well above the check interval of 250 ms. */
export function watchPauses(
  timers: TimerService,
  minimumPause: Milliseconds,
): PauseWatch {
  const suspension = watchSuspension(timers);
  let checkedAt = timers.now();
  let pauseEndedAt: Milliseconds | undefined;
  let pauses = 0;
  let isCancelled = false;

  const check = (): void => {
    if (isCancelled) return;
    const now = timers.now();
    const stoodStill = now - checkedAt + suspension.check();
    checkedAt = now;
    if (stoodStill < minimumPause) return;
    pauseEndedAt = now;
    pauses += 1;
  };

  const timer = timers.every(checkInterval, check);
  return {
    countPauses: () => {
      check();
      return pauses;
    },
    hasPausedSince: time => {
      check();
      return pauseEndedAt !== undefined && pauseEndedAt >= time;
    },
    cancel: () => {
      isCancelled = true;
      timer.cancel();
    },
  };
}
