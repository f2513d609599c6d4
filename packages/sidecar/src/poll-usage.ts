/** Reads the lagged usage of the worker from the platform. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, WorkerUsage } from '@cranberryturn/types';

import type { PlatformPort } from './ports/platform.js';

const staleAfterMilliseconds: Milliseconds = 60_000;

/** The newest usage that the platform told. */
export interface UsagePoller {
  /** The usage with its age as of now; undefined when there is none or it is stale. */
  latest(): WorkerUsage | undefined;
  /** Changes with each reading. */
  readingCount(): number;
  stop(): void;
}

interface UsageReading {
  readonly usage: WorkerUsage;
  readonly readAt: Milliseconds;
}

/** Starts to read the usage of the worker at an interval. A slow platform is asked once at a time. */
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
