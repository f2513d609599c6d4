/** Checks the sum of docs/decisions/run-validity.md: what may still run once the connection of a caller has ended. */
import type { Milliseconds } from '@cranberryturn/types';
import { defaultExecutionBounds, deriveRunValidity } from '@cranberryturn/wire';

import type { FakeCallers } from './fake-callers.js';
import type { JobsFixture } from './jobs-fixture.js';

const checkIntervalMilliseconds: Milliseconds = 5;
/** Clocks of workers are converted to the time of the test. */
const roundingMilliseconds: Milliseconds = 0.01;
const { orderMilliseconds } = deriveRunValidity(defaultExecutionBounds);
const { stopMilliseconds } = defaultExecutionBounds;

/** The smallest reserves that were seen; negative ones are violations. */
export interface Reserves {
  /** From the end of a lease to the latest time allowed. */
  lease: Milliseconds;
  /** From the last time at which a run was active to the latest time allowed. */
  activity: Milliseconds;
}

/** Watches all runs whose caller has gone, and adds what breaks the sum to the violations of the fixture. */
export function watchEndedCallers(
  { timers, hosts, violations }: JobsFixture,
  callers: FakeCallers,
): Reserves {
  const report = (violation: string): void => {
    if (!violations.includes(violation)) violations.push(violation);
  };
  const reserves: Reserves = { lease: Infinity, activity: Infinity };
  timers.every(checkIntervalMilliseconds, () => {
    for (const { worker, name } of hosts) {
      for (const [task, run] of worker.activeRuns) {
        const state = callers.findState(run.jobId);
        if (
          state === undefined ||
          run.startedAt >= (state.openedAt ?? Infinity)
        )
          continue;
        const { endedAt, deliveryMilliseconds } = state.lastEnd ?? {
          endedAt: -Infinity,
          deliveryMilliseconds: 0,
        };
        const leaseUntil = endedAt + deliveryMilliseconds + orderMilliseconds;
        const lease = leaseUntil - worker.leaseEndsAt;
        const activity = leaseUntil + stopMilliseconds - timers.now();
        if (!run.hasExpired) reserves.lease = Math.min(reserves.lease, lease);
        reserves.activity = Math.min(reserves.activity, activity);
        if (lease < -roundingMilliseconds && !run.hasExpired)
          report(`the lease of ${task} at ${name} is too long`);
        if (activity < -roundingMilliseconds)
          report(`${task} at ${name} outlives its caller`);
      }
    }
  });
  return reserves;
}
