/** Stops stalled runs whose task another worker can take. */
import type { Logger } from '@cranberryturn/logger';
import type { StalledRun } from '@cranberryturn/types';

import type { KnownWorker } from './known-worker.js';
import type { RunTracker } from './run-tracker.js';
import type { TaskPlacer } from './task-placer.js';
import type { WorkerDirectory } from './worker-directory.js';

/** Dependencies of a stop. */
export interface StalledRunDependencies {
  readonly logger: Logger;
  readonly runs: RunTracker;
  readonly placer: TaskPlacer;
  readonly workers: WorkerDirectory;
}

/** Stops stalled runs. Each task is placed again once its run has ended. */
export function stopStalledRuns(
  { logger, runs, placer, workers }: StalledRunDependencies,
  known: KnownWorker,
  stalledRuns: readonly StalledRun[],
): void {
  for (const stalledRun of stalledRuns) {
    const task = runs.findTask(known.sessionNumber, stalledRun);
    if (task === undefined || task.job.end !== undefined) continue;
    if (!placer.hasOtherWorker(task)) continue;
    logger.info('run that stands still is stopped', {
      requestId: task.job.job.requestId,
      worker: known.workerId,
      ...stalledRun,
    });
    task.excludedWorkers.add(known.workerId);
    const { jobId, taskId } = stalledRun;
    workers.stopRuns(known.sessionNumber, { jobId, taskIds: [taskId] });
  }
}
