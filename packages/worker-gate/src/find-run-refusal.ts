/** Refuses runs that a worker cannot or must not start. */
import { RunEndReason, type WorkerRun } from '@cranberryturn/types';

import type { ActiveRun } from './active-run.js';
import type { Capacity } from './capacity.js';
import { mostWaitingRuns } from './waiting-runs.js';

/** The state against which a run is weighed. */
export interface RunQuestion {
  readonly worker: WorkerRun;
  readonly capacity: Capacity;
  /** Number of runs that wait. */
  readonly waiting: number;
  readonly isClosed: boolean;
  readonly isDraining: boolean;
  /** Whether the worker answers orders. */
  readonly isAnswering: boolean;
  /** Whether the lease of the dispatcher lasts long enough. */
  readonly isLeased: boolean;
}

/** Why the run is refused; undefined queues it. */
export function findRunRefusal(
  { order }: ActiveRun,
  question: RunQuestion,
): RunEndReason | undefined {
  const { worker, capacity } = question;
  if (question.isClosed) return RunEndReason.WorkerGone;
  if (question.isDraining) return RunEndReason.Draining;
  if (order.service !== worker.service) return RunEndReason.WrongService;
  const { label } = order.need;
  if (label !== undefined && !worker.labels.includes(label)) {
    return RunEndReason.WrongService;
  }
  if (!capacity.canEverHold(order.need)) return RunEndReason.NoCapacity;
  if (question.waiting >= mostWaitingRuns) return RunEndReason.NoCapacity;
  if (!question.isLeased) return RunEndReason.DispatcherSilent;
  if (!question.isAnswering) return RunEndReason.WorkerSilent;
  return undefined;
}
