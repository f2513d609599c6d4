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
  readonly read: Milliseconds;
}

/** Starts to read the usage of the worker at an interval. A slow platform is asked once at a time. */
export function pollUsage(
  platform: PlatformPort,
  timers: TimerService,
  interval: Milliseconds,
): UsagePoller {
  let newest: UsageReading | undefined;
  let readings = 0;
  let asking = false;

  const read = async (): Promise<void> => {
    if (asking) return;
    asking = true;
    const usage = await platform.readUsage();
    asking = false;
    if (usage.isErr()) return;
    newest = { usage: usage.value, read: timers.now() };
    readings += 1;
  };

  void read();
  const reading = timers.every(interval, () => {
    void read();
  });
  return {
    latest: () => {
      if (newest === undefined) return undefined;
      const { usage, read: readAt } = newest;
      const ageMilliseconds = usage.ageMilliseconds + timers.now() - readAt;
      if (ageMilliseconds > staleAfterMilliseconds) return undefined;
      return { ...usage, ageMilliseconds };
    },
    readingCount: () => readings,
    stop: () => {
      reading.cancel();
    },
  };
}
