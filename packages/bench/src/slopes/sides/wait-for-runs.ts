/** Waits until a count has been reached. */
import { sleep, type TimerService } from '@cranberryturn/timers';

const pollMilliseconds = 5;

/** Resolves with `wanted` once `count` has reached it. */
export async function waitForRuns(
  timers: TimerService,
  count: () => number,
  wanted: number,
): Promise<number> {
  while (count() < wanted) await sleep(timers, pollMilliseconds);
  return wanted;
}
