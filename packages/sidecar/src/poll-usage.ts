/** Polls the platform for the resource usage of the worker, which it reports with a lag. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, WorkerUsage } from '@cranberryturn/types';

import type { PlatformPort } from './ports/platform.js';

/** Age above which a reading is no longer reported. */
const staleAfterMilliseconds: Milliseconds = 60_000;

/** Access to the latest usage reading. */
export interface UsagePoller {
  /** The latest usage with its current age; undefined when there is none or it is stale. */
  latest(): WorkerUsage | undefined;
  /** Number of successful readings; lets callers detect a new one. */
  readingCount(): number;
  stop(): void;
}

interface UsageReading {
  readonly usage: WorkerUsage;
  readonly readAt: Milliseconds;
}

/**
 * Starts polling at an interval, the first time at once. Polls are skipped
 * while a request is pending; failures are ignored.
 */
export function pollUsage(
  platform: PlatformPort,
  timers: TimerService,
  intervalMilliseconds: Milliseconds,
): UsagePoller {
  let newest: UsageReading | undefined;
  let readings = 0;
  let isReading = false;

  const read = async (): Promise<void> => {
    if (isReading) return;
    isReading = true;
    const usage = await platform.readUsage();
    isReading = false;
    if (usage.isErr()) return;
    newest = { usage: usage.value, readAt: timers.now() };
    readings += 1;
  };

  void read();
  const pollTimer = timers.every(intervalMilliseconds, () => {
    void read();
  });
  return {
    latest: () => {
      if (newest === undefined) return undefined;
      const { usage, readAt: usageReadAt } = newest;
      const ageMilliseconds =
        usage.ageMilliseconds + timers.now() - usageReadAt;
      if (ageMilliseconds > staleAfterMilliseconds) return undefined;
      return { ...usage, ageMilliseconds };
    },
    readingCount: () => readings,
    stop: () => {
      pollTimer.cancel();
    },
  };
}
