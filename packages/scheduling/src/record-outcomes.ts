/** Records load reports and results of attempts with the models of load, run times, usage and health. */
import {
  recordLoad,
  recordRoundTrip,
  type TargetEntry,
} from '@cranberryturn/placement';
import {
  AttemptOutcome,
  type AttemptResult,
  type Milliseconds,
  type TargetLoad,
} from '@cranberryturn/types';

import { type ActiveAttempt, TaskPhase } from './active-work.js';
import { recordUsage } from './record-usage.js';
import { backOffTarget } from './back-off-targets.js';
import {
  findOrCreatePool,
  type SchedulerContext,
} from './scheduler-context.js';

/** Records a load report. Attempts sent less than a round trip ago count as not yet reported. */
export function recordLoadReport(
  context: SchedulerContext,
  entry: TargetEntry,
  load: TargetLoad,
): void {
  const now = context.options.timers.now();
  const reportedUpTo = now - entry.roundTripMilliseconds;
  let unreportedAttempts = 0;
  for (const attempt of context.attempts.get(entry) ?? []) {
    if (attempt.startedAt > reportedUpTo) unreportedAttempts += 1;
  }
  recordLoad(entry, load, unreportedAttempts, now);
  recordUsage(context, entry, load, now);
  findOrCreatePool(context, entry.record.service).index.update(entry, now);
}

/** Records the run time, the health and the refusals that follow from the result of an attempt. */
export function recordAttemptOutcome(
  context: SchedulerContext,
  attempt: ActiveAttempt,
  result: AttemptResult,
  now: Milliseconds,
): void {
  const { task, target } = attempt;
  const { pool } = task.job;
  const declared = task.request.declared?.runMilliseconds;
  switch (result.outcome) {
    case AttemptOutcome.Answered: {
      const expectedMilliseconds = pool.runTimes.estimate(declared);
      recordRoundTrip(target, now - attempt.startedAt, result.runMilliseconds);
      pool.runTimes.record(result.runMilliseconds, declared);
      const measuredSlowdown =
        result.runMilliseconds / Math.max(1, expectedMilliseconds);
      const slowdown = attempt.isStraggler
        ? target.health.slowdown
        : measuredSlowdown;
      target.consecutiveRefusals = 0;
      pool.health.recordSuccess(target, slowdown, now);
      return;
    }
    case AttemptOutcome.Failed:
      target.consecutiveRefusals = 0;
      if (task.phase !== TaskPhase.Ended)
        pool.health.recordFailure(target, now);
      return;
    case AttemptOutcome.NotStarted:
      backOffTarget(pool, target, result.reason, now);
  }
}
