/** A disk whose syncs take longer, to stand for slower hardware. */
import type { LogDisk } from '@cranberryturn/replicated-log';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { ResultAsync } from 'neverthrow';

/** Delays each sync of `disk`. */
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
