/** The timer service port: clocks and timers. */
import type { Milliseconds } from '@cranberryturn/types';

/** A subscription to the timer service. */
export interface TimerSubscription {
  /** Ends the subscription. Does nothing if the subscription has already ended. */
  cancel(): void;
}

/**
 * Source of time for all components, which never read a clock directly, so that tests control time.
 */
export interface TimerService {
  /** Monotonic time in milliseconds, with fractions. */
  now(): Milliseconds;
  /** Wall-clock time in milliseconds since 1970. */
  wallClock(): Milliseconds;
  /** Calls `callback` once, `delay` milliseconds from now. */
  after(delay: Milliseconds, callback: () => void): TimerSubscription;
  /**
   * Calls `callback` once, after the events that had arrived in this process before this call have been handled: data
   * and ends of accepted connections, and timers that are due. Connections that wait to be accepted may need longer.
   */
  afterPendingEvents(callback: () => void): TimerSubscription;
  /** Calls `callback` every `period` milliseconds; the first call may come earlier. */
  every(period: Milliseconds, callback: () => void): TimerSubscription;
}

/** Resolves after all events that had arrived in this process before this call have been handled. */
export function handlePendingEvents(timers: TimerService): Promise<void> {
  return new Promise(resolve => {
    timers.afterPendingEvents(resolve);
  });
}

/** Resolves after `delay` milliseconds. */
export function sleep(
  timers: TimerService,
  delay: Milliseconds,
): Promise<void> {
  return new Promise(resolve => {
    timers.after(delay, resolve);
  });
}
