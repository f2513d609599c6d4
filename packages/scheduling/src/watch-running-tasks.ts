/** Periodic checks of probes, stragglers, stale load, backed-off targets and abandoned attempts. */
import { removeFromList } from '@cranberryturn/admission';
import { DecisionKind, type Milliseconds } from '@cranberryturn/types';

import {
  type ActiveAttempt,
  findRunningNode,
  type ServicePool,
} from './active-work.js';
import { removeAttempt } from './end-jobs.js';
import { endTargetBackoffs } from './back-off-targets.js';
import { placeTasks, startHedge } from './place-tasks.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Interval of the checks. */
export const watchIntervalMilliseconds: Milliseconds = 20;

/** An attempt is a straggler after this multiple of the 99th percentile of run times. */
const stragglerFactor = 1.5;
const minimumStragglerMilliseconds: Milliseconds = 50;
const minimumStaleLoadMilliseconds: Milliseconds = 50;
/** Weight of the newest of the periodic samples: an average over about a second. */
const newestParallelismWeight = 0.02;
/** Time after the deadline of its job at which an abandoned attempt no longer holds its slot. */
const abandonedTimeoutMilliseconds: Milliseconds = 10_000;

/** Runs the checks of every service, and places waiting tasks. */
export function watchRunningTasks(context: SchedulerContext): void {
  const now = context.options.timers.now();
  for (const pool of context.pools.values()) {
    endTargetBackoffs(pool, now);
    beginProbes(pool, now);
    reportStragglers(context, pool, now);
    updateSaturatedParallelism(pool);
    if (pool.queuedTasks === 0) continue;
    if (!pool.index.hasFreeSlots()) decayStaleLoad(pool, now);
    placeTasks(context, pool);
  }
  removeAbandonedAttempts(context, now);
}

/** Averages the slots that other dispatchers leave to this one while no slot is free. */
function updateSaturatedParallelism(pool: ServicePool): void {
  const { running } = pool.limiter;
  if (pool.queuedTasks === 0 || pool.index.hasFreeSlots()) {
    pool.saturatedParallelism = undefined;
    return;
  }
  const average = pool.saturatedParallelism ?? running;
  pool.saturatedParallelism =
    average + (running - average) * newestParallelismWeight;
}

function beginProbes(pool: ServicePool, now: Milliseconds): void {
  for (const entry of pool.health.beginProbes(now))
    pool.index.update(entry, now);
  pool.health.allowAnyTaskToProbe(now);
}

function reportStragglers(
  context: SchedulerContext,
  pool: ServicePool,
  now: Milliseconds,
): void {
  const p99RunMilliseconds = pool.runTimes.findPercentile(99);
  if (p99RunMilliseconds === undefined) return;
  const thresholdMilliseconds = Math.max(
    minimumStragglerMilliseconds,
    p99RunMilliseconds * stragglerFactor,
  );
  for (;;) {
    const oldest = pool.running.first?.value;
    if (oldest === undefined || now - oldest.startedAt < thresholdMilliseconds)
      return;
    removeFromList(findRunningNode(oldest));
    reportStraggler(context, pool, oldest, now);
  }
}

function reportStraggler(
  context: SchedulerContext,
  pool: ServicePool,
  attempt: ActiveAttempt,
  now: Milliseconds,
): void {
  const { task, target } = attempt;
  const elapsedMilliseconds = now - attempt.startedAt;
  attempt.isStraggler = true;
  const { jobId } = task.job.request;
  const { taskId } = task.request;
  context.options.decisions(
    {
      kind: DecisionKind.Health,
      target: target.record.targetId,
      action: 'straggler',
      reason: `task "${taskId}" of job "${jobId}" has run for ${elapsedMilliseconds.toFixed(0)} ms`,
    },
    task.job.requestId,
  );
  const expectedMilliseconds = pool.runTimes.estimate(
    task.request.declared?.runMilliseconds,
  );
  pool.health.recordStraggler(
    target,
    elapsedMilliseconds / Math.max(1, expectedMilliseconds),
    now,
  );
  pool.index.update(target, now);
  hedgeAttempt(context, pool, attempt);
}

function hedgeAttempt(
  context: SchedulerContext,
  pool: ServicePool,
  { task, target }: ActiveAttempt,
): void {
  if (!task.job.isRepeatable || task.attempts.length !== 1) return;
  if (!pool.index.hasFreeSlots()) return;
  task.excludedTargets = [...task.excludedTargets, target];
  if (pool.retryBudget.trySpendRetry()) startHedge(context, task);
}

/** Assumes one slot freed by other dispatchers on each target without a recent load report. */
function decayStaleLoad(pool: ServicePool, now: Milliseconds): void {
  const meanRunMilliseconds = pool.runTimes.estimate();
  for (const entry of pool.index.entries()) {
    if (entry.slotsOfOthers <= 0) continue;
    const staleMilliseconds = Math.max(
      minimumStaleLoadMilliseconds,
      meanRunMilliseconds,
    );
    if (now - entry.reportedAt < staleMilliseconds) continue;
    entry.slotsOfOthers -= 1;
    entry.reportedAt = now;
    pool.index.update(entry, now);
  }
}

function removeAbandonedAttempts(
  context: SchedulerContext,
  now: Milliseconds,
): void {
  for (const attempt of context.abandonedAttempts) {
    const expiresAt =
      attempt.task.job.deadlineAt + abandonedTimeoutMilliseconds;
    if (now > expiresAt) removeAttempt(context, attempt, now);
  }
}
