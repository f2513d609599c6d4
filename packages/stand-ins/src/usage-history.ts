/** Samples the usage of workers and reports it with a delay, as real platforms do. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, TargetId } from '@cranberryturn/types';

import type { PlatformTarget } from './start-stand-in-platform.js';

/** Usage of one worker as the platform reports it. */
export interface UsageReport {
  readonly ageMilliseconds: Milliseconds;
  /** Processors in use; each task uses one. */
  readonly processors: number;
  readonly memoryMebibytes: number;
  readonly accelerators: number;
}

/** Samples of the usage of all workers. */
export interface UsageHistory {
  /** Reads the newest sample that is at least as old as the lag; zero usage if there is none. */
  read(target: TargetId): UsageReport;
  /** Stops the sampling. */
  close(): void;
}

interface UsageSample {
  readonly at: Milliseconds;
  readonly runningTasks: number;
}

const maximumSamples = 200;
const samplePeriodMilliseconds: Milliseconds = 100;
const memoryMebibytesPerTask = 64;

/** Starts to sample the usage of all targets every 100 ms, until `close` is called. */
export function createUsageHistory(options: {
  readonly timers: TimerService;
  readonly targets: readonly PlatformTarget[];
  readonly usageLagMilliseconds: Milliseconds;
}): UsageHistory {
  const { timers } = options;
  const samples = new Map<TargetId, UsageSample[]>();
  const samplingTimer = timers.every(samplePeriodMilliseconds, () => {
    for (const { targetId, running } of options.targets) {
      const kept = samples.get(targetId) ?? [];
      kept.push({ at: timers.now(), runningTasks: running.count() });
      if (kept.length > maximumSamples) kept.shift();
      samples.set(targetId, kept);
    }
  });
  return {
    read: target => {
      const newestAllowedAt = timers.now() - options.usageLagMilliseconds;
      const sample = samples
        .get(target)
        ?.findLast(one => one.at <= newestAllowedAt);
      const runningTasks = sample?.runningTasks ?? 0;
      return {
        ageMilliseconds: timers.now() - (sample?.at ?? newestAllowedAt),
        processors: runningTasks,
        memoryMebibytes: runningTasks * memoryMebibytesPerTask,
        accelerators: 0,
      };
    },
    close: () => {
      samplingTimer.cancel();
    },
  };
}
