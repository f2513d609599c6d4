/** Decides until when an order to a worker is valid. */
import type { Milliseconds } from '@cranberryturn/types';

import type { WorkerExecutor } from './worker-executor.js';

/**
 * Computes the time on the clock of the worker until which an order that is sent now is valid. It extends the lease of all
 * active runs, so the dispatcher that was heard least recently decides. Undefined when one of them has no lease, or no run
 * is active.
 */
export function computeOrderDeadline(
  executor: Pick<WorkerExecutor, 'listActiveRuns' | 'clock' | 'options'>,
): Milliseconds | undefined {
  const runs = executor.listActiveRuns();
  if (runs.length === 0) return undefined;
  const echo = Math.min(...runs.map(({ lease }) => lease.echo));
  const { orderMilliseconds } = executor.options.validity;
  const deadline = executor.clock.computeDeadline(echo, orderMilliseconds);
  return deadline === undefined ? undefined : Math.floor(deadline);
}
