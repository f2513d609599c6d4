/** Takes a reading once events stop, not with each of them: a reading costs time that is being measured. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

const quietMilliseconds: Milliseconds = 100;

/** A reading shortly after the last event. */
export interface QuietReading<Value> {
  noteEvent(): void;
  /** The reading after the last event, taken now if it is still due. */
  finish(): Value;
}

/** Reads when no event was noted for a while. */
export function readWhenQuiet<Value>(
  timers: TimerService,
  read: () => Value,
): QuietReading<Value> {
  let taken: { readonly value: Value } | undefined;
  let due: TimerSubscription | undefined;
  return {
    noteEvent: () => {
      due?.cancel();
      taken = undefined;
      due = timers.after(quietMilliseconds, () => {
        taken = { value: read() };
      });
    },
    finish: () => {
      due?.cancel();
      return taken === undefined ? read() : taken.value;
    },
  };
}
