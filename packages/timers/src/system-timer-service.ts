import { performance } from 'node:perf_hooks';

import type { TimerService, TimerSubscription } from './timer-service.js';

/** Creates the timer service that follows the clock of the machine. */
export function createSystemTimerService(): TimerService {
  return {
    now: () => performance.now(),
    wallClock: () => Date.now(),
    after: startTimeout,
    every: startInterval,
  };
}

function startTimeout(delay: number, callback: () => void): TimerSubscription {
  const handle = setTimeout(callback, delay);
  return {
    cancel: () => {
      clearTimeout(handle);
    },
  };
}

function startInterval(
  period: number,
  callback: () => void,
): TimerSubscription {
  const handle = setInterval(callback, period);
  return {
    cancel: () => {
      clearInterval(handle);
    },
  };
}
