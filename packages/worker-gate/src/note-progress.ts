/** Projects the ends of runs from their progress, and reports those that stand still. */
import type {
  DispatcherId,
  Milliseconds,
  StillRun,
} from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';
import {
  nameTask,
  type RunningRun,
  type WorkerStatus,
} from './ports/worker.js';
import type { WorkerLife } from './worker-life.js';

/** Below this progress, a projection says little. */
const leastProgress = 0.04;
/** A run that made no progress for this long stands still; workers are read every 300 ms or sooner. */
const stillAfter: Milliseconds = 350;
/** Progress is told in steps of a hundredth: long runs make none for this part of their time. */
const stillPart = 0.03;
const reportInterval: Milliseconds = 400;

/** Takes in the progress of all runs. */
export function noteProgress(
  life: WorkerLife,
  { running }: WorkerStatus,
): void {
  const now = life.options.timers.now();
  const rows = new Map(
    running.map(row => [nameTask(row.jobId, row.taskId), row]),
  );
  const still = new Map<DispatcherId, StillRun[]>();
  for (const run of life.listActive()) {
    const row = rows.get(run.task);
    if (row?.run !== run.run || run.phase !== RunPhase.Running) continue;
    project(run, row, now);
    if (!mustReport(run, now)) continue;
    run.stillReportedAt = now;
    const reports = still.get(run.dispatcher) ?? [];
    reports.push(describeStill(run, now));
    still.set(run.dispatcher, reports);
  }
  for (const [dispatcher, runs] of still) {
    life.options.runsStill(dispatcher, runs);
  }
}

function project(run: ActiveRun, row: RunningRun, now: Milliseconds): void {
  if (row.progress > run.progress) {
    run.progress = row.progress;
    run.progressAt = now;
  }
  if (run.progress < leastProgress) return;
  run.expectedEndAt = run.startedAt + (now - run.startedAt) / run.progress;
}

function mustReport(run: ActiveRun, now: Milliseconds): boolean {
  if (run.stopReason !== undefined) return false;
  if (now - run.stillReportedAt < reportInterval) return false;
  const usual = run.order.estimatedMilliseconds * stillPart;
  return now - run.progressAt >= Math.max(stillAfter, usual);
}

function describeStill(run: ActiveRun, now: Milliseconds): StillRun {
  return {
    jobId: run.order.jobId,
    taskId: run.taskId,
    run: run.ordered,
    stillMilliseconds: Math.round(now - run.progressAt),
  };
}
