/** Logs a suspension of this process. */
import type { Logger } from '@cranberryturn/logger';
import type { WorkerRun } from '@cranberryturn/types';

import type { RunTable } from './run-table.js';

/** Logs how many runs of the worker a suspension concerns. */
export function logSuspension(
  logger: Logger,
  { workerId }: WorkerRun,
  runs: RunTable,
): void {
  logger.warn(
    'this process was suspended; stopping runs until dispatchers renew their leases',
    {
      worker: workerId,
      waiting: runs.waiting.size,
      active: runs.listActiveRuns().length,
    },
  );
}
