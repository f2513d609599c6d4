/** Estimates the ends of runs from their progress, and reports stalled runs to their dispatchers. */
import type {
  DispatcherId,
  Milliseconds,
  StalledRun,
} from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';
import {
  nameTask,
  type RunningRun,
  type WorkerStatus,
} from './ports/worker.js';
import type { WorkerExecutor } from './worker-executor.js';

/** Minimum progress for an estimate of the end; below it the estimate is unreliable. */
const minimumProgress = 0.04;
/** A run without progress for this long is stalled; the status of a worker is read at least every 300 ms. */
const stallAfterMilliseconds: Milliseconds = 350;
/** Workers report progress in hundredths, so a long run may show none for this share of its run time. */
const stallShare = 0.03;
const reportIntervalMilliseconds: Milliseconds = 400;

/** Records the progress of all active runs from a status of the worker. */
export function recordProgress(
  executor: WorkerExecutor,
  { running }: WorkerStatus,
): void {
  const now = executor.options.timers.now();
  const listedRuns = new Map(
    running.map(listedRun => [
      nameTask(listedRun.jobId, listedRun.taskId),
      listedRun,
    ]),
  );
  const stalledRuns = new Map<DispatcherId, StalledRun[]>();
  for (const run of executor.listActiveRuns()) {
    const listedRun = listedRuns.get(run.task);
    if (listedRun?.run !== run.run || run.phase !== RunPhase.Running) continue;
    projectEnd(run, listedRun, now);
    if (!shouldReportStall(run, now)) continue;
    run.stallReportedAt = now;
    const reports = stalledRuns.get(run.dispatcher) ?? [];
    reports.push(createStillRun(run, now));
    stalledRuns.set(run.dispatcher, reports);
  }
  for (const [dispatcher, runs] of stalledRuns) {
    executor.options.runsStalled(dispatcher, runs);
  }
}

function projectEnd(
  run: ActiveRun,
  listedRun: RunningRun,
  now: Milliseconds,
): void {
  if (listedRun.progress > run.progress) {
    run.progress = listedRun.progress;
    run.lastProgressAt = now;
  }
  if (run.progress < minimumProgress) return;
  run.expectedEndAt = run.startedAt + (now - run.startedAt) / run.progress;
}

function shouldReportStall(run: ActiveRun, now: Milliseconds): boolean {
  if (run.stopReason !== undefined) return false;
  if (now - run.stallReportedAt < reportIntervalMilliseconds) return false;
  const usualMilliseconds = run.order.estimatedMilliseconds * stallShare;
  return (
    now - run.lastProgressAt >=
    Math.max(stallAfterMilliseconds, usualMilliseconds)
  );
}

function createStillRun(run: ActiveRun, now: Milliseconds): StalledRun {
  return {
    jobId: run.order.jobId,
    taskId: run.taskId,
    run: run.orderedRun,
    stillMilliseconds: Math.round(now - run.lastProgressAt),
  };
}
