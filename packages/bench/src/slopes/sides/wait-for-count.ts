/** Waits until a count has been reached. */
import { sleep, type TimerService } from '@cranberryturn/timers';

const pollMilliseconds = 5;

/** Resolves with `expectedCount` once `count` has reached it. */
export async function waitForCount(
  timers: TimerService,
  count: () => number,
  expectedCount: number,
): Promise<number> {
  while (count() < expectedCount) await sleep(timers, pollMilliseconds);
  return expectedCount;
}
