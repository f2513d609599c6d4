/** Tells the scheduler which dispatchers share the limits, and that control still lists this run among them. */
import type { SharingDispatchers } from '@cranberryturn/scheduling';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  DispatcherIdentity,
  Milliseconds,
  Roster,
} from '@cranberryturn/types';

import type { LendingScheduler } from './handle-dispatcher-calls.js';
import type { ControlPort } from './ports/control.js';

/**
 * How long a dispatcher may use its shares of the limits after the last confirmation. Together with the
 * maximum age of the proof, this is shorter than the time after which other dispatchers use those shares.
 */
export const membershipLeaseMilliseconds: Milliseconds = 6_000;

const confirmPeriodMilliseconds: Milliseconds = 500;

/** Dependencies of the confirmation. */
export interface ConfirmMembershipOptions {
  readonly self: DispatcherIdentity;
  readonly control: ControlPort;
  readonly timers: TimerService;
  readonly scheduler: LendingScheduler;
}

/**
 * Confirms the membership to the scheduler, periodically and on every new roster, while
 * control has a proven leader and lists this run. Cancel the subscription to stop.
 */
export function confirmMembership(
  options: ConfirmMembershipOptions,
): TimerSubscription {
  const { self, control, timers, scheduler } = options;
  const confirm = (): void => {
    if (control.isFresh?.() === false) return;
    if (findSelf(control.roster.current(), self) === undefined) return;
    scheduler.confirmMembership?.();
  };
  const stopRoster = control.roster.subscribe(confirm);
  const confirming = timers.every(confirmPeriodMilliseconds, confirm);
  return {
    cancel: () => {
      stopRoster();
      confirming.cancel();
    },
  };
}

/** Lists the dispatchers of the roster, which share the limits; the count is at least 1. */
export function listSharingDispatchers(
  roster: Roster,
  self: DispatcherIdentity,
): SharingDispatchers {
  const names = roster.dispatchers.map(one => one.dispatcherId);
  return {
    count: Math.max(1, names.length),
    names,
    rosterVersion: roster.version,
    replacesRun: findSelf(roster, self)?.replacesRun ?? false,
  };
}

function findSelf(
  roster: Roster,
  { dispatcherId, incarnation }: DispatcherIdentity,
) {
  return roster.dispatchers.find(
    one => one.dispatcherId === dispatcherId && one.incarnation === incarnation,
  );
}
