/** Looks after health, stragglers and held targets at regular times. */
import { removeNode } from '@cranberryturn/admission';
import { DecisionKind, type Milliseconds } from '@cranberryturn/types';

import {
  type ActiveAttempt,
  runningNode,
  type ServicePool,
} from './active-work.js';
import { leaveTarget } from './end-jobs.js';
import { releaseHeldTargets } from './hold-targets.js';
import { placeTasks, startHedge } from './place-tasks.js';
import type { SchedulerContext } from './scheduler-context.js';

/** Time between two looks. */
export const watchPeriodMilliseconds: Milliseconds = 20;

const stragglerFactor = 1.5;
const shortestStragglerMilliseconds: Milliseconds = 50;
const shortestStaleMilliseconds: Milliseconds = 50;
const newestWeight = 0.02;
const abandonedMilliseconds: Milliseconds = 10_000;

/** Does what is due in every service. */
export function watchRunningTasks(context: SchedulerContext): void {
  const now = context.options.timers.now();
  for (const pool of context.pools.values()) {
    releaseHeldTargets(pool, now);
    probeTargets(pool, now);
    findStragglers(context, pool, now);
    averageParallelism(pool);
    if (pool.queuedTasks === 0) continue;
    if (!pool.index.hasFree()) forgetStaleLoad(pool, now);
    placeTasks(context, pool);
  }
  forgetAbandoned(context, now);
}

/** Learns how many slots other dispatchers leave while all are taken. */
function averageParallelism(pool: ServicePool): void {
  const { running } = pool.gate;
  if (pool.queuedTasks === 0 || pool.index.hasFree()) {
    pool.saturatedParallelism = undefined;
    return;
  }
  const average = pool.saturatedParallelism ?? running;
  pool.saturatedParallelism = average + (running - average) * newestWeight;
}

function probeTargets(pool: ServicePool, now: Milliseconds): void {
  for (const entry of pool.health.beginProbes(now))
    pool.index.update(entry, now);
  pool.health.openOldProbes(now);
}

function findStragglers(
  context: SchedulerContext,
  pool: ServicePool,
  now: Milliseconds,
): void {
  const usual = pool.runTimes.quantile(99);
  if (usual === undefined) return;
  const threshold = Math.max(
    shortestStragglerMilliseconds,
    usual * stragglerFactor,
  );
  for (;;) {
    const oldest = pool.running.first?.value;
    if (oldest === undefined || now - oldest.startedAt < threshold) return;
    removeNode(runningNode(oldest));
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
  const elapsed = now - attempt.startedAt;
  attempt.straggling = true;
  const { jobId } = task.job.request;
  const { taskId } = task.request;
  context.options.decisions(
    {
      kind: DecisionKind.Health,
      target: target.record.targetId,
      action: 'straggler',
      reason: `task "${taskId}" of job "${jobId}" has run for ${elapsed.toFixed(0)} ms`,
    },
    task.job.requestId,
  );
  const expected = pool.runTimes.estimate(
    task.request.declared?.runMilliseconds,
  );
  pool.health.recordStraggler(target, elapsed / Math.max(1, expected), now);
  pool.index.update(target, now);
  hedge(context, pool, attempt);
}

function hedge(
  context: SchedulerContext,
  pool: ServicePool,
  { task, target }: ActiveAttempt,
): void {
  if (!task.job.repeatable || task.attempts.length !== 1) return;
  if (!pool.index.hasFree()) return;
  task.excluded = [...task.excluded, target];
  if (pool.budget.trySpend()) startHedge(context, task);
}

/** Expects others to have freed a slot where nothing was heard for long. */
function forgetStaleLoad(pool: ServicePool, now: Milliseconds): void {
  const mean = pool.runTimes.estimate();
  for (const entry of pool.index.entries()) {
    if (entry.othersBusy <= 0) continue;
    const stale = Math.max(shortestStaleMilliseconds, mean);
    if (now - entry.reportedAt < stale) continue;
    entry.othersBusy -= 1;
    entry.reportedAt = now;
    pool.index.update(entry, now);
  }
}

function forgetAbandoned(context: SchedulerContext, now: Milliseconds): void {
  for (const attempt of context.abandoned) {
    const limit = attempt.task.job.deadline + abandonedMilliseconds;
    if (now > limit) leaveTarget(context, attempt, now);
  }
}
