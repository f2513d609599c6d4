/** Registers a sidecar run at control, before any task is placed on that run. */
import type { RosterFeed, RosterStore } from '@cranberryturn/membership';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  TargetAnnouncement,
  TargetRecord,
} from '@cranberryturn/types';

import { waitForRoster } from './wait-for-roster.js';

const retryMilliseconds: Milliseconds = 500;

/** Inputs of a registration. */
export interface RegisterTargetOptions {
  readonly announcement: TargetAnnouncement;
  readonly roster: RosterFeed;
  readonly registry: RosterStore;
  readonly timers: TimerService;
  /** Whether to go on; false once the run is unreachable. */
  readonly isNeeded: () => boolean;
}

/** Registers the run, with retries while needed. Resolves with undefined once no longer needed. */
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
    // A repeated registration may return a later index than that in the roster.
    // The roster decides which jobs may start on the run, so its record is used.
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
