/** Ends queued runs past their deadline, and stops the runs of dispatchers whose lease has expired. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import { RunEndReason } from '@cranberryturn/types';
import { leaseCheckInterval } from '@cranberryturn/wire';

import type { ActiveRun } from './active-run.js';
import type { DispatcherLeases } from './dispatcher-leases.js';

type EndMatchingRuns = (
  reason: RunEndReason,
  matches: (run: ActiveRun) => boolean,
) => void;

/** The runs of one executor. */
export interface OverdueRuns {
  readonly isIdle: () => boolean;
  readonly refuseWaitingRuns: EndMatchingRuns;
  readonly stopMatchingRuns: EndMatchingRuns;
}

/** Checks the runs until the subscription is cancelled. */
export function watchOverdueRuns(
  {
    timers,
    leases,
  }: { readonly timers: TimerService; readonly leases: DispatcherLeases },
  runs: OverdueRuns,
): TimerSubscription {
  return timers.every(leaseCheckInterval, () => {
    if (runs.isIdle()) return;
    const now = timers.now();
    runs.refuseWaitingRuns(
      RunEndReason.DeadlinePassed,
      run => run.deadlineAt <= now,
    );
    runs.stopMatchingRuns(
      RunEndReason.DispatcherSilent,
      run => !leases.isHeld(run.lease, now) && run.stopReason === undefined,
    );
  });
}
