/** Projects the ends of runs from their progress, and reports those that take far longer than estimated. */
import type { DispatcherId, Milliseconds, SlowRun } from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';
import type { RunningRun, WorkerStatus } from './ports/worker.js';
import type { WorkerLife } from './worker-life.js';

/** Workers tell their progress in steps of this size. */
const progressStep = 0.01;
/** Below this progress, a projection says little. */
const leastProgress = 0.04;
/** A run that made no progress for this long stands still. */
const stillAfter: Milliseconds = 350;
/** What a run that stands still is expected to take. */
const stillRemaining: Milliseconds = 30_000;
/** Callers declare run times up to 40 % off, tasks of a job are uneven, and slow kinds of worker take a quarter longer. */
const slowFactor = 2.5;
const slowSlack: Milliseconds = 100;
const reportInterval: Milliseconds = 400;

/** Takes in the progress of all runs. */
export function noteProgress(
  life: WorkerLife,
  { running }: WorkerStatus,
): void {
  const now = life.options.timers.now();
  const rows = new Map(running.map(row => [`${row.jobId}.${row.taskId}`, row]));
  const slow = new Map<DispatcherId, SlowRun[]>();
  for (const run of life.listActive()) {
    const row = rows.get(run.task);
    if (row?.run !== run.run || run.phase !== RunPhase.Running) continue;
    project(run, row, now);
    if (!mustReport(run, now)) continue;
    run.slowReportedAt = now;
    const reports = slow.get(run.dispatcher) ?? [];
    reports.push(describeSlow(run, now));
    slow.set(run.dispatcher, reports);
  }
  for (const [dispatcher, runs] of slow) {
    life.options.runsSlow(dispatcher, runs);
  }
}

function project(run: ActiveRun, row: RunningRun, now: Milliseconds): void {
  if (row.progress > run.progress) {
    run.progress = row.progress;
    run.progressAt = now;
  }
  const elapsed = now - run.startedAt;
  if (now - run.progressAt >= stillAfter) {
    run.expectedEndAt = now + stillRemaining;
  } else if (
    run.progress >= leastProgress ||
    elapsed >= run.order.estimatedMilliseconds
  ) {
    const progress = Math.max(run.progress, progressStep);
    run.expectedEndAt = run.startedAt + elapsed / progress;
  }
}

function mustReport(run: ActiveRun, now: Milliseconds): boolean {
  const { expectedEndAt, startedAt, slowReportedAt, order, stopReason } = run;
  if (expectedEndAt === undefined || stopReason !== undefined) return false;
  if (now - slowReportedAt < reportInterval) return false;
  const projected = expectedEndAt - startedAt;
  return projected > order.estimatedMilliseconds * slowFactor + slowSlack;
}

function describeSlow(run: ActiveRun, now: Milliseconds): SlowRun {
  return {
    jobId: run.order.jobId,
    taskId: run.taskId,
    run: run.ordered,
    elapsedMilliseconds: Math.round(now - run.startedAt),
    remainingMilliseconds: Math.round((run.expectedEndAt ?? now) - now),
  };
}
