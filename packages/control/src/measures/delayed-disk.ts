/** Wraps a log disk with slower syncs, to simulate slower hardware. */
import type { LogDisk } from '@cranberryturn/replicated-log';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { ResultAsync } from 'neverthrow';

/** Adds `delay` to each sync of `disk`. Returns `disk` itself for a delay of 0. */
export function delaySyncs(
  disk: LogDisk,
  timers: TimerService,
  delay: Milliseconds,
): LogDisk {
  if (delay === 0) return disk;
  const wait = () => ResultAsync.fromSafePromise(sleep(timers, delay));
  return {
    ...disk,
    sync: file => wait().andThen(() => disk.sync(file)),
  };
}
