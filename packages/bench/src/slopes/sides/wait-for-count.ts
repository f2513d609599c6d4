/** Polls a count until it reaches a value. */
import { sleep, type TimerService } from '@cranberryturn/timers';

const pollMilliseconds = 5;

/** Resolves with `expectedCount` once `count` returns at least that number. There is no timeout. */
export async function waitForCount(
  timers: TimerService,
  count: () => number,
  expectedCount: number,
): Promise<number> {
  while (count() < expectedCount) await sleep(timers, pollMilliseconds);
  return expectedCount;
}
