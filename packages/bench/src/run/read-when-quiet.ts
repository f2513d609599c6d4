/** Takes a reading once events stop, not with each of them: a reading costs time that is being measured. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

const quietMilliseconds: Milliseconds = 100;

/** A reading shortly after the last event. */
export interface QuietReading<Value> {
  recordEvent(): void;
  /** The reading after the last event, taken now if it is still due. */
  finish(): Value;
}

/** Reads when no event was noted for a while. */
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
