/** Timer service on the clocks of the operating system. */
import { performance } from 'node:perf_hooks';

import type { Milliseconds } from '@cranberryturn/types';

import { rethrowLater } from './rethrow-later.js';
import type { TimerService, TimerSubscription } from './timer-service.js';

/**
 * All subscriptions with one period. They share a timer, so that the process wakes up only once for
 * all.
 */
interface SharedInterval {
  readonly handle: NodeJS.Timeout;
  readonly callbacks: Set<() => void>;
}

/** Creates a timer service that uses the monotonic clock and wall clock of the operating system. */
export function createSystemTimerService(): TimerService {
  const intervals = new Map<Milliseconds, SharedInterval>();

  const subscribeToInterval = (
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription => {
    const shared = intervals.get(period) ?? createSharedInterval(period);
    // The wrapper is unique, so one function can be subscribed twice.
    const uniqueCallback = (): void => {
      callback();
    };
    shared.callbacks.add(uniqueCallback);
    return {
      cancel: () => {
        if (!shared.callbacks.delete(uniqueCallback)) return;
        if (shared.callbacks.size > 0) return;
        clearInterval(shared.handle);
        if (intervals.get(period) === shared) intervals.delete(period);
      },
    };
  };

  const createSharedInterval = (period: Milliseconds): SharedInterval => {
    const callbacks = new Set<() => void>();
    const handle = setInterval(() => {
      for (const callback of [...callbacks]) {
        if (callbacks.has(callback)) callSafely(callback);
      }
    }, period);
    const shared = { handle, callbacks };
    intervals.set(period, shared);
    return shared;
  };

  return {
    now: () => performance.now(),
    wallClock: () => Date.now(),
    after: startTimeout,
    afterPendingEvents,
    every: subscribeToInterval,
  };
}

/** Calls a callback. What it throws does not keep the other callbacks of the interval from being called. */
function callSafely(callback: () => void): void {
  try {
    callback();
  } catch (error) {
    rethrowLater(error);
  }
}

/**
 * Turns of the event loop in which events that had arrived are handled: the turn that goes on, which may have polled
 * already, one to read data, one to read the end that follows it, and one for what closes with it.
 */
const turnsUntilHandled = 4;

function afterPendingEvents(callback: () => void): TimerSubscription {
  let remaining = turnsUntilHandled;
  const endTurn = (): void => {
    remaining -= 1;
    if (remaining === 0) callback();
    else handle = setImmediate(endTurn);
  };
  let handle = setImmediate(endTurn);
  return {
    cancel: () => {
      clearImmediate(handle);
    },
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
