/** Waits until this process knows a roster that is at least as new as a grant. */
import type { RosterFeed } from '@cranberryturn/membership';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Resolves with whether the roster became new enough in time. */
export function waitForRoster(
  roster: RosterFeed,
  version: number,
  timers: TimerService,
  timeoutMilliseconds: Milliseconds,
): Promise<boolean> {
  if (roster.current().version >= version) return Promise.resolve(true);
  return new Promise(resolve => {
    const settle = (isNew: boolean): void => {
      expiry.cancel();
      unsubscribe();
      resolve(isNew);
    };
    const expiry = timers.after(timeoutMilliseconds, () => {
      settle(false);
    });
    const unsubscribe = roster.subscribe(later => {
      if (later.version >= version) settle(true);
    });
  });
}
