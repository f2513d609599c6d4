/** Timeout for work that a planned stop waits for. */
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Resolves with true once `work` is done, or with false after the timeout. Rejects when `work` rejects. */
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
