/** Work that only lets time pass. */
import { sleep, type TimerService } from '@cranberryturn/timers';

const idleSeconds = 5;

/** Lets time pass and returns the seconds. */
export async function stayIdle(timers: TimerService): Promise<number> {
  await sleep(timers, idleSeconds * 1_000);
  return idleSeconds;
}
