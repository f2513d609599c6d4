/** Waiting times of measurements without load. */
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Time after which new sessions have reached the heartbeat interval of idle ones. */
const idleAfterMilliseconds: Milliseconds = 20_000;
const idleSeconds = 5;

/** Waits for the measured idle time and resolves with its length in seconds, the unit of work. */
export async function waitMeasuredInterval(
  timers: TimerService,
): Promise<number> {
  await sleep(timers, idleSeconds * 1_000);
  return idleSeconds;
}

/** Waits until newly opened sessions send heartbeats as rarely as idle ones. */
export function waitUntilIdle(timers: TimerService): Promise<void> {
  return sleep(timers, idleAfterMilliseconds);
}
