/** Detects that the process was suspended, for example by a paused virtual machine. */
import type { Milliseconds } from '@cranberryturn/types';

import type { TimerService } from './timer-service.js';

/** Detects suspensions: the wall clock advances while the monotonic clock does not advance. */
export interface SuspensionWatch {
  /**
   * Returns the time for which the process was suspended since the last call; 0 if it was not. A
   * wall clock that is set forward looks the same.
   */
  check(): Milliseconds;
}

/**
 * Smaller differences also come from gradual wall-clock corrections and the resolution of the
 * clocks.
 */
const minimumSuspension: Milliseconds = 200;

/** Starts detection; the first `check` covers the time since this call. */
export function watchSuspension(timers: TimerService): SuspensionWatch {
  let offset = timers.wallClock() - timers.now();
  return {
    check: () => {
      const current = timers.wallClock() - timers.now();
      const jump = current - offset;
      offset = current;
      return jump >= minimumSuspension ? jump : 0;
    },
  };
}
