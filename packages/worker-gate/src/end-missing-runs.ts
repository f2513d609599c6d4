/** Ends runs that the worker no longer lists. */
import { RunPhase } from './active-run.js';
import { nameRun, type WorkerStatus } from './ports/worker.js';
import { EvidenceKind } from './run-evidence.js';
import type { WorkerExecutor } from './worker-executor.js';

/** A run that is missing in this many consecutive status reports is considered lost. */
const maximumMissingReports = 3;

/**
 * Counts the reports without a run; only those count that were asked for after the worker had confirmed the run. A run that
 * was never confirmed ends once no order can start it any more.
 */
export function endMissingRuns(
  executor: WorkerExecutor,
  status: WorkerStatus,
  sentAt: number,
): void {
  const listed = new Set(status.running.map(nameRun));
  for (const run of executor.listActiveRuns()) {
    const { confirmedAt, orderDeadline } = run;
    const isListed = listed.has(`${run.task}.${String(run.run)}`);
    if (confirmedAt === undefined) {
      const isExpired =
        orderDeadline !== undefined && status.clock > orderDeadline;
      if (isExpired && !isListed)
        executor.endRun(run, { kind: EvidenceKind.OrderExpired });
      continue;
    }
    if (run.phase !== RunPhase.Running || confirmedAt >= sentAt) continue;
    run.missingReports = isListed ? 0 : run.missingReports + 1;
    if (run.missingReports < maximumMissingReports) continue;
    executor.endRun(run, { kind: EvidenceKind.Unlisted });
  }
}
