/** Tells the scheduler who shares the limits, and that control still counts this run among them. */
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
 * Time after the last proof for which a dispatcher may use its own parts of limits. With the age that a proof may have,
 * it is shorter than the time after which others use those parts.
 */
export const membershipLeaseMilliseconds: Milliseconds = 6_000;

const confirmPeriodMilliseconds: Milliseconds = 500;

/** What the task needs. */
export interface ConfirmMembershipOptions {
  readonly self: DispatcherIdentity;
  readonly control: ControlPort;
  readonly timers: TimerService;
  readonly scheduler: LendingScheduler;
}

/** Confirms the membership for as long as control proves a leader and lists this run. */
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

/** The dispatchers that share the limits, as the roster lists them. */
export function describeSharing(
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
