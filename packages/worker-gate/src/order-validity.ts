/** Decides until when an order to a worker is valid, and which runs may start under the lease that the worker has. */
import type { Milliseconds } from '@cranberryturn/types';

import type { ActiveRun } from './active-run.js';
import type { DispatcherLease } from './dispatcher-leases.js';
import type { WorkerExecutor } from './worker-executor.js';

type OrderContext = Pick<
  WorkerExecutor,
  'listActiveRuns' | 'clock' | 'options' | 'lease'
>;

/** The end of the validity of an order. */
export interface OrderValidity {
  /** On the clock of the worker. */
  readonly deadline: Milliseconds;
  /** On the clock of this process, the latest time at which the worker that is known reaches the deadline. */
  readonly grantedUntil: Milliseconds;
  /** On the clock of this process, the time by which the lease has ended at any incarnation of the worker. */
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
  const { clock, options } = executor;
  const { orderMilliseconds, grantMilliseconds } = options.validity;
  const now = options.timers.now();
  const echo = Math.min(...runs.map(({ lease }) => lease.echo));
  const allowed = clock.computeDeadline(echo, orderMilliseconds);
  const granted = clock.computeDeadline(now, grantMilliseconds);
  if (allowed === undefined || granted === undefined) return undefined;
  return {
    deadline: Math.floor(Math.min(allowed, granted)),
    grantedUntil: Math.min(echo + orderMilliseconds, now + grantMilliseconds),
    endsAt: echo + orderMilliseconds,
  };
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

/**
 * Whether a run may start under the lease that the worker has: leases never become shorter, and one that was granted for
 * other dispatchers may be longer than the echo of its own allows.
 */
function isLeaseCovered(
  { clock, options, lease }: OrderContext,
  { echo }: DispatcherLease,
): boolean {
  const { orderMilliseconds } = options.validity;
  const allowed = clock.computeDeadline(echo, orderMilliseconds);
  return allowed !== undefined && lease.deadline <= allowed;
}

/** Whether a queued run may start now. */
export function mayStart(
  executor: OrderContext,
  { deadlineAt, lease }: ActiveRun,
): boolean {
  const { timers, leases } = executor.options;
  const now = timers.now();
  return (
    deadlineAt > now &&
    leases.canStart(lease, now) &&
    isLeaseCovered(executor, lease)
  );
}

/** Whether runs under a lease wait although they might fit. */
export function isStartHeld(
  executor: OrderContext,
  lease: DispatcherLease,
): boolean {
  return areStartsHeld(executor) || !isLeaseCovered(executor, lease);
}
