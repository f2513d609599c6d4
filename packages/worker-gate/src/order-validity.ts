/** Decides until when an order to a worker is valid. */
import type { Milliseconds } from '@cranberryturn/types';

import type { DispatcherLease } from './dispatcher-leases.js';
import type { WorkerExecutor } from './worker-executor.js';

type OrderContext = Pick<
  WorkerExecutor,
  'listActiveRuns' | 'clock' | 'options'
>;

/** The end of the validity of an order. */
export interface OrderValidity {
  /** On the clock of the worker. */
  readonly deadline: Milliseconds;
  /** On the clock of this process, the latest time at which the deadline can be reached. */
  readonly endsAt: Milliseconds;
}

/**
 * Computes until when an order that is sent now is valid. It extends the lease of all active runs, so the dispatcher that
 * was heard least recently decides. Undefined when one of them has no lease, or no run is active.
 */
export function computeOrderValidity(
  executor: OrderContext,
): OrderValidity | undefined {
  const runs = executor.listActiveRuns();
  if (runs.length === 0) return undefined;
  const echo = Math.min(...runs.map(({ lease }) => lease.echo));
  const { orderMilliseconds } = executor.options.validity;
  const deadline = executor.clock.computeDeadline(echo, orderMilliseconds);
  if (deadline === undefined) return undefined;
  return { deadline: Math.floor(deadline), endsAt: echo + orderMilliseconds };
}

/** Minimum remaining lease of the worker to start a run, as for the lease of its dispatcher. */
const minimumStartMilliseconds: Milliseconds = 100;

/**
 * Whether no run starts for now: an active run without a lease has to end first, as a start order would extend it, and so
 * has a run whose stop is not answered and with whose lease that of the worker is about to end.
 */
export function areStartsHeld(executor: OrderContext): boolean {
  return (
    executor.listActiveRuns().length > 0 &&
    (computeOrderValidity(executor) === undefined || isStopOverdue(executor))
  );
}

function isStopOverdue(executor: OrderContext): boolean {
  const { timers, validity } = executor.options;
  const startsUntil =
    timers.now() - validity.orderMilliseconds + minimumStartMilliseconds;
  return executor
    .listActiveRuns()
    .some(
      ({ stopReason, lease }) =>
        stopReason !== undefined && lease.echo < startsUntil,
    );
}

/** Whether runs under a lease wait although they might fit. */
export function isStartHeld(
  executor: OrderContext,
  { echo }: DispatcherLease,
): boolean {
  return areStartsHeld(executor) || !executor.clock.hasReadingBefore(echo);
}
