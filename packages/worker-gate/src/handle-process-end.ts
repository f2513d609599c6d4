/**
 * Gives back the runs of a worker whose process has ended, as nothing runs there any more. A run that had just started
 * may be the cause, and would end the process of the next worker as well: it is kept until the lease of the worker
 * ends, when more is known of such tasks.
 */
import type { TimerService } from '@cranberryturn/timers';
import { type Milliseconds, RunEndReason } from '@cranberryturn/types';

import type { WorkerExecutor } from './worker-executor.js';

/** A task that ends the process of its worker most often does so soon after its start. */
const suspectMilliseconds: Milliseconds = 250;

/** Ends the runs of the executor that had been active for some time. */
export function handleProcessEnd(
  executor: WorkerExecutor,
  timers: TimerService,
): void {
  const now = timers.now();
  executor.interruptRuns(
    RunEndReason.WorkerGone,
    ({ startedAt }) => now - startedAt >= suspectMilliseconds,
  );
}
