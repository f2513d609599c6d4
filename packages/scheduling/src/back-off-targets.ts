/** Exponential backoff from targets that refused a task. */
import type { TargetEntry } from '@cranberryturn/placement';
import { type Milliseconds, NotStartedReason } from '@cranberryturn/types';

import type { ServicePool } from './active-work.js';

const initialBusyBackoffMilliseconds: Milliseconds = 5;
const maximumBusyBackoffMilliseconds: Milliseconds = 200;
const initialUnreachableBackoffMilliseconds: Milliseconds = 500;
const maximumUnreachableBackoffMilliseconds: Milliseconds = 10_000;

/**
 * Stops placement on a target that refused a task, for a time that doubles with each consecutive refusal.
 * Refusals that concern the task and not the target have no effect.
 */
export function backOffTarget(
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
      startBackoff(
        pool,
        target,
        now,
        initialBusyBackoffMilliseconds,
        maximumBusyBackoffMilliseconds,
      );
      return;
    case NotStartedReason.TargetUnreachable:
    case NotStartedReason.LeaseRefused:
    case NotStartedReason.WrongService:
      startBackoff(
        pool,
        target,
        now,
        initialUnreachableBackoffMilliseconds,
        maximumUnreachableBackoffMilliseconds,
      );
      return;
    case NotStartedReason.Fenced:
    case NotStartedReason.AlreadyStarted:
    case NotStartedReason.DeadlinePassed:
    case NotStartedReason.Cancelled:
  }
}

/** Makes the targets whose backoff has ended available again. */
export function endTargetBackoffs(pool: ServicePool, now: Milliseconds): void {
  for (const target of pool.backedOffTargets) {
    if (target.backoffUntil > now) continue;
    pool.backedOffTargets.delete(target);
    pool.index.update(target, now);
  }
}

function startBackoff(
  pool: ServicePool,
  target: TargetEntry,
  now: Milliseconds,
  first: Milliseconds,
  maximumMilliseconds: Milliseconds,
): void {
  const backoffMilliseconds = Math.min(
    maximumMilliseconds,
    first * 2 ** target.consecutiveRefusals,
  );
  target.consecutiveRefusals += 1;
  target.backoffUntil = now + backoffMilliseconds;
  pool.backedOffTargets.add(target);
}
