/** Waits until this process has a roster of at least a given version. */
import { TimeoutError } from '@cranberryturn/errors';
import type { RosterFeed } from '@cranberryturn/membership';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

/** Resolves once the roster has at least this version; fails when that takes longer than the timeout. */
export function waitForRoster(
  roster: RosterFeed,
  version: number,
  timers: TimerService,
  timeoutMilliseconds: Milliseconds,
): ResultAsync<void, TimeoutError> {
  return new ResultAsync(wait(roster, version, timers, timeoutMilliseconds));
}

function wait(
  roster: RosterFeed,
  version: number,
  timers: TimerService,
  timeoutMilliseconds: Milliseconds,
): Promise<Result<void, TimeoutError>> {
  if (roster.current().version >= version) return Promise.resolve(ok());
  return new Promise(resolve => {
    const settle = (result: Result<void, TimeoutError>): void => {
      expiry.cancel();
      unsubscribe();
      resolve(result);
    };
    const expiry = timers.after(timeoutMilliseconds, () => {
      const known = roster.current().version;
      settle(err(composeTimeoutError(version, known, timeoutMilliseconds)));
    });
    const unsubscribe = roster.subscribe(later => {
      if (later.version >= version) settle(ok());
    });
  });
}

function composeTimeoutError(
  wanted: number,
  known: number,
  waitedMilliseconds: Milliseconds,
): TimeoutError {
  return new TimeoutError(
    `Roster ${String(wanted)} did not arrive within ${String(waitedMilliseconds)} ms, only ${String(known)} is known; check the connection to control and submit the job again.`,
    { step: 'wait for roster', peer: 'control' },
  );
}
