/** Bounds how long a planned stop waits. */
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Waits for `work`, but no longer than `timeoutMilliseconds`. Resolves with false when time ran out first. */
export function finishWithin(
  timers: TimerService,
  timeoutMilliseconds: Milliseconds,
  work: Promise<void>,
): Promise<boolean> {
  return Promise.race([
    work.then(() => true),
    sleep(timers, timeoutMilliseconds).then(() => false),
  ]);
}
