/** Work that only lets time pass. */
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

const idleAfterMilliseconds: Milliseconds = 20_000;
const idleSeconds = 5;

/** Lets time pass and returns the seconds. */
export async function stayIdle(timers: TimerService): Promise<number> {
  await sleep(timers, idleSeconds * 1_000);
  return idleSeconds;
}

/** Waits until sessions that have just opened send as seldom as idle ones do. */
export function waitUntilIdle(timers: TimerService): Promise<void> {
  return sleep(timers, idleAfterMilliseconds);
}
