/** Registers a run of a sidecar at control before any work is placed on it. */
import type { RosterFeed, RosterStore } from '@cranberryturn/membership';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  TargetAnnouncement,
  TargetRecord,
} from '@cranberryturn/types';

import { waitForRoster } from './wait-for-roster.js';

const retryMilliseconds: Milliseconds = 500;

/** What the registration needs. */
export interface RegisterTargetOptions {
  readonly announcement: TargetAnnouncement;
  readonly roster: RosterFeed;
  readonly registry: RosterStore;
  readonly timers: TimerService;
  /** Whether the run is still connected. */
  readonly isNeeded: () => boolean;
}

/** Registers the run, for as long as it is connected. Resolves with undefined when it no longer is. */
export async function registerTarget(
  options: RegisterTargetOptions,
): Promise<TargetRecord | undefined> {
  const { announcement } = options;
  while (options.isNeeded()) {
    const known = findRecord(options.roster, announcement);
    if (known !== undefined) return known;
    const index = await options.registry.registerTarget(announcement);
    if (index.isErr()) {
      await sleep(options.timers, retryMilliseconds);
      continue;
    }
    // The index of a repeated registration may be later than the one in the
    // roster, which decides what jobs may start here: only the roster counts.
    const record = findRecord(options.roster, announcement);
    if (record !== undefined) return record;
    const { version } = options.roster.current();
    await waitForRoster(
      options.roster,
      version + 1,
      options.timers,
      retryMilliseconds,
    );
  }
  return undefined;
}

function findRecord(
  roster: RosterFeed,
  announcement: TargetAnnouncement,
): TargetRecord | undefined {
  return roster
    .current()
    .targets.find(
      one =>
        one.targetId === announcement.targetId &&
        one.incarnation === announcement.incarnation,
    );
}
