/** Holds back targets that refused work, and lets them go again. */
import type { TargetEntry } from '@cranberryturn/placement';
import { type Milliseconds, NotStartedReason } from '@cranberryturn/types';

import type { ServicePool } from './active-work.js';

const firstBusyHoldMilliseconds: Milliseconds = 5;
const longestBusyHoldMilliseconds: Milliseconds = 200;
const firstUnreachableHoldMilliseconds: Milliseconds = 500;
const longestUnreachableHoldMilliseconds: Milliseconds = 10_000;

/** Sends nothing more to a target that refused a task, for a time that grows with each refusal. */
export function holdTarget(
  pool: ServicePool,
  target: TargetEntry,
  reason: NotStartedReason,
  now: Milliseconds,
): void {
  switch (reason) {
    case NotStartedReason.Draining:
      target.draining = true;
      return;
    case NotStartedReason.Busy:
      holdFor(
        pool,
        target,
        now,
        firstBusyHoldMilliseconds,
        longestBusyHoldMilliseconds,
      );
      return;
    case NotStartedReason.TargetUnreachable:
    case NotStartedReason.LeaseRefused:
    case NotStartedReason.WrongService:
      holdFor(
        pool,
        target,
        now,
        firstUnreachableHoldMilliseconds,
        longestUnreachableHoldMilliseconds,
      );
      return;
    case NotStartedReason.Fenced:
    case NotStartedReason.AlreadyStarted:
    case NotStartedReason.DeadlinePassed:
    case NotStartedReason.Cancelled:
  }
}

/** Lets go the targets whose time has passed. */
export function releaseHeldTargets(pool: ServicePool, now: Milliseconds): void {
  for (const target of pool.held) {
    if (target.heldUntil > now) continue;
    pool.held.delete(target);
    pool.index.update(target, now);
  }
}

function holdFor(
  pool: ServicePool,
  target: TargetEntry,
  now: Milliseconds,
  first: Milliseconds,
  longest: Milliseconds,
): void {
  const duration = Math.min(longest, first * 2 ** target.refusals);
  target.refusals += 1;
  target.heldUntil = now + duration;
  pool.held.add(target);
}
