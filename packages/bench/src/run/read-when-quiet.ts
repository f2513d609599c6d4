/** Takes one reading after the last event rather than one per event, because a reading costs measured time. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

const quietMilliseconds: Milliseconds = 100;

/** A pending reading; each event postpones it. */
export interface QuietReading<Value> {
  recordEvent(): void;
  /** Returns the reading after the last event, or takes one now if it is still pending. */
  finish(): Value;
}

/** Calls `read` when no event was recorded for 100 ms. */
export function readWhenQuiet<Value>(
  timers: TimerService,
  read: () => Value,
): QuietReading<Value> {
  let reading: { readonly value: Value } | undefined;
  let timer: TimerSubscription | undefined;
  return {
    recordEvent: () => {
      timer?.cancel();
      reading = undefined;
      timer = timers.after(quietMilliseconds, () => {
        reading = { value: read() };
      });
    },
    finish: () => {
      timer?.cancel();
      return reading === undefined ? read() : reading.value;
    },
  };
}
