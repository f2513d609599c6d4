/** Learns from what targets report. */
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
import { learnUsage } from './learn-usage.js';
import { holdTarget } from './hold-targets.js';
import { findPool, type SchedulerContext } from './scheduler-context.js';

/** Learns from a load report how busy others keep the target. */
export function learnLoad(
  context: SchedulerContext,
  entry: TargetEntry,
  load: TargetLoad,
): void {
  const now = context.options.timers.now();
  const sentTooLate = now - entry.roundTrip;
  let underway = 0;
  for (const attempt of context.attempts.get(entry) ?? []) {
    if (attempt.startedAt > sentTooLate) underway += 1;
  }
  recordLoad(entry, load, underway, now);
  learnUsage(context, entry, load, now);
  findPool(context, entry.record.service).index.update(entry, now);
}

/** Learns run times and health from the result of an attempt. */
export function learnOutcome(
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
      const expected = pool.runTimes.estimate(declared);
      recordRoundTrip(target, now - attempt.startedAt, result.runMilliseconds);
      pool.runTimes.record(result.runMilliseconds, declared);
      const ratio = result.runMilliseconds / Math.max(1, expected);
      const slowness = attempt.straggling ? target.health.slowness : ratio;
      target.refusals = 0;
      pool.health.recordSuccess(target, slowness, now);
      return;
    }
    case AttemptOutcome.Failed:
      target.refusals = 0;
      if (task.phase !== TaskPhase.Ended)
        pool.health.recordFailure(target, now);
      return;
    case AttemptOutcome.NotStarted:
      holdTarget(pool, target, result.reason, now);
  }
}
