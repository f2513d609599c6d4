import type { Milliseconds } from '@cranberryturn/types';

import type { TimerService } from './timer-service.js';

/** Notices that the process was suspended: the wall clock went on while the steady clock stood still. */
export interface SuspensionWatch {
  /**
   * Time for which the process was suspended since the last call. A wall clock that is set forward
   * looks the same.
   */
  check(): Milliseconds;
}

/** Below this, wall clocks that are corrected slowly and the resolution of both clocks show. */
const leastSuspension: Milliseconds = 200;

/** Starts to watch. */
export function watchSuspension(timers: TimerService): SuspensionWatch {
  let offset = timers.wallClock() - timers.now();
  return {
    check: () => {
      const current = timers.wallClock() - timers.now();
      const jump = current - offset;
      offset = current;
      return jump >= leastSuspension ? jump : 0;
    },
  };
}
