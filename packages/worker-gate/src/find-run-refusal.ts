/** Decides which runs a worker cannot or must not start. */
import { RunEndReason, type WorkerRun } from '@cranberryturn/types';

import type { ActiveRun } from './active-run.js';
import type { Capacity } from './capacity.js';
import { maximumWaitingRuns } from './waiting-runs.js';

/** State of the worker and of the dispatcher's lease when a run arrives. */
export interface WorkerState {
  readonly worker: WorkerRun;
  readonly capacity: Capacity;
  /** Number of queued runs. */
  readonly waitingRuns: number;
  readonly isClosed: boolean;
  readonly isDraining: boolean;
  /** Whether evacuations allow no start here. */
  readonly isEvacuated: boolean;
  /** Whether the worker replies to orders. */
  readonly isAnswering: boolean;
  /** Whether the remaining lease of the dispatcher is long enough. */
  readonly isLeased: boolean;
}

/** Returns why a run is refused; undefined admits it to the queue. */
export function findRunRefusal(
  { order }: ActiveRun,
  state: WorkerState,
): RunEndReason | undefined {
  const { worker, capacity } = state;
  if (state.isClosed) return RunEndReason.WorkerGone;
  if (state.isDraining) return RunEndReason.Draining;
  if (state.isEvacuated) return RunEndReason.Evacuated;
  if (order.service !== worker.service) return RunEndReason.WrongService;
  const { label } = order.need;
  if (label !== undefined && !worker.labels.includes(label)) {
    return RunEndReason.WrongService;
  }
  if (!capacity.canEverHold(order.need)) return RunEndReason.NoCapacity;
  if (state.waitingRuns >= maximumWaitingRuns) return RunEndReason.NoCapacity;
  if (!state.isLeased) return RunEndReason.DispatcherSilent;
  if (!state.isAnswering) return RunEndReason.WorkerSilent;
  return undefined;
}
