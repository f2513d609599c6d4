/** Measures the duration of log syncs. */
import { Distribution, type Metrics } from '@cranberryturn/metrics';
import type { LogDisk } from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';

/** Wraps `disk` so that the duration of each successful sync is recorded as a metric. */
export function measureSyncs(
  disk: LogDisk,
  timers: TimerService,
  metrics: Metrics,
): LogDisk {
  return {
    list: () => disk.list(),
    read: file => disk.read(file),
    append: (file, bytes) => disk.append(file, bytes),
    sync: file => {
      const began = timers.now();
      return disk.sync(file).andTee(() => {
        metrics.record(Distribution.SyncMilliseconds, timers.now() - began);
      });
    },
    truncate: (file, length) => disk.truncate(file, length),
    replace: (file, bytes) => disk.replace(file, bytes),
    remove: file => disk.remove(file),
    close: () => disk.close(),
  };
}
