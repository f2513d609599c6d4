/** The state of one worker as a dispatcher knows it: reported load, orders in transit, speed and failures. */
import type {
  DispatcherId,
  Milliseconds,
  RunOrder,
  TargetId,
  WorkerLoad,
  WorkerResources,
  WorkerRun,
} from '@cranberryturn/types';

import {
  chooseSpeedWeight,
  computeHeldBackProcessors,
  quickSamples,
} from './return-ramp.js';

import type { SessionNumber } from './sidecar-session.js';

/** A placement order that the latest load report does not include yet. */
interface UnreportedOrder {
  /** Sequence number of the order in the session. */
  readonly order: number;
  readonly processors: number;
  readonly workProcessorMilliseconds: number;
}

/** Capacity that this dispatcher has granted at a worker that it coordinates, and whose order the worker has not reported. */
export interface OutstandingGrant {
  readonly grant: number;
  readonly need: WorkerResources;
}

/** Which dispatcher coordinates a worker, and which can place tasks on it, as its sidecar says. */
export interface Coordination {
  readonly coordinator: DispatcherId | undefined;
  readonly dispatchers: ReadonlySet<DispatcherId>;
}

/** The state of one worker. Only the worker directory and the functions of this module change it. */
export interface KnownWorker {
  readonly workerId: TargetId;
  /** Name of its sidecar, which outlasts the incarnations of the worker. */
  readonly host: string;
  /** Session with its sidecar. */
  sessionNumber: SessionNumber;
  worker: WorkerRun;
  load: WorkerLoad;
  /** Arrival of the last message of the sidecar. */
  lastHeardAt: Milliseconds;
  /** When the stamp was received that this dispatcher echoes to the sidecar now; minus infinity before the first. */
  echoReceivedAt: Milliseconds;
  /** Relative speed: expected run time divided by measured run time; 1 is average. */
  speed: number;
  /** Time that orders and ends spend on the network and in the sidecar, which may be on a slow host. */
  delayMilliseconds: Milliseconds;
  consecutiveFailures: number;
  /** The worker receives no task before this time. */
  backoffUntil: Milliseconds;
  unreportedOrders: UnreportedOrder[];
  coordination: Coordination;
  /** Empty unless this dispatcher coordinates the worker. */
  outstandingGrants: OutstandingGrant[];
  /** Whether its data centre is evacuated, by what this dispatcher knows itself. */
  isEvacuated: boolean;
  /** When the worker began to return from an evacuation; undefined once it has returned in full. */
  returningSince: Milliseconds | undefined;
  /** Processors that are not used yet while the worker returns from an evacuation. */
  heldBackProcessors: number;
  /** Number of next ends from which the speed is learned quickly. */
  remainingQuickSamples: number;
}

const delaySampleWeight = 0.2;
/** Upper bound of one delay sample, so that a single stall does not keep tasks away for long. */
const maximumDelayMilliseconds: Milliseconds = 150;
const minimumSpeed = 0.1;
const maximumSpeed = 4;
const initialBackoffMilliseconds: Milliseconds = 400;
const maximumBackoffMilliseconds: Milliseconds = 5_000;
/** Sidecars send a message at least every 400 ms; a worker silent for longer than this bound receives no task. */
const maximumSilenceMilliseconds: Milliseconds = 550;

/** The coordination of a worker before its sidecar has named a dispatcher. */
export const noCoordination: Coordination = {
  coordinator: undefined,
  dispatchers: new Set(),
};

/** Creates the state of a newly announced worker. */
export function createKnownWorker(
  worker: WorkerRun,
  load: WorkerLoad,
  now: Milliseconds,
  host: string = worker.workerId,
): KnownWorker {
  return {
    workerId: worker.workerId,
    host,
    sessionNumber: 0,
    worker,
    load,
    lastHeardAt: now,
    echoReceivedAt: now,
    speed: 1,
    delayMilliseconds: 0,
    consecutiveFailures: 0,
    backoffUntil: 0,
    unreportedOrders: [],
    coordination: noCoordination,
    outstandingGrants: [],
    isEvacuated: false,
    returningSince: undefined,
    heldBackProcessors: 0,
    remainingQuickSamples: 0,
  };
}

/** Applies a load report, which includes all orders up to the sequence number `orders` and those that use its `grants`. */
export function updateLoad(
  known: KnownWorker,
  load: WorkerLoad,
  orders: number,
  now: Milliseconds,
  grants: readonly number[] = [],
): void {
  const wasWithdrawn = isWithdrawn(known);
  known.load = load;
  known.lastHeardAt = now;
  known.unreportedOrders = known.unreportedOrders.filter(
    ({ order }) => order > orders,
  );
  if (grants.length > 0)
    known.outstandingGrants = known.outstandingGrants.filter(
      ({ grant }) => !grants.includes(grant),
    );
  if (wasWithdrawn && !isWithdrawn(known)) beginReturn(known, now);
}

/** Records whether the data centre of the worker is evacuated, by what this dispatcher knows itself. */
export function setEvacuated(
  known: KnownWorker,
  isEvacuated: boolean,
  now: Milliseconds,
): void {
  const wasWithdrawn = isWithdrawn(known);
  known.isEvacuated = isEvacuated;
  if (wasWithdrawn && !isWithdrawn(known)) beginReturn(known, now);
}

/** Whether an evacuation takes the worker out of use, by its own report or by what this dispatcher knows. */
export function isWithdrawn({ isEvacuated, load }: KnownWorker): boolean {
  return isEvacuated || load.evacuated === true;
}

function beginReturn(known: KnownWorker, now: Milliseconds): void {
  known.returningSince = now;
  known.speed = 1;
  known.remainingQuickSamples = quickSamples;
  updateHeldBackProcessors(known, now);
}

/** Raises the usable capacity of a worker that returns from an evacuation. */
export function updateHeldBackProcessors(
  known: KnownWorker,
  now: Milliseconds,
): void {
  if (known.returningSince === undefined) return;
  known.heldBackProcessors = computeHeldBackProcessors(
    known.worker.capacity.processors,
    now - known.returningSince,
  );
  if (known.heldBackProcessors === 0) known.returningSince = undefined;
}

/** Reserves the resources of an order until a load report includes it. */
export function recordOrder(
  known: KnownWorker,
  order: number,
  { need, tasks, estimatedMilliseconds }: RunOrder,
): void {
  const processors = need.processors * tasks.length;
  const workProcessorMilliseconds = processors * estimatedMilliseconds;
  known.unreportedOrders.push({
    order,
    processors,
    workProcessorMilliseconds,
  });
}

/** Records a successful run: clears the failures and updates the relative speed. */
export function recordSuccess(
  known: KnownWorker,
  expectedMilliseconds: Milliseconds,
  actualMilliseconds: Milliseconds,
): void {
  known.consecutiveFailures = 0;
  known.backoffUntil = 0;
  const sample = Math.min(
    maximumSpeed,
    Math.max(
      minimumSpeed,
      expectedMilliseconds / Math.max(1, actualMilliseconds),
    ),
  );
  const weight = chooseSpeedWeight(known.remainingQuickSamples);
  known.speed *= (sample / known.speed) ** weight;
  if (known.remainingQuickSamples > 0) known.remainingQuickSamples -= 1;
}

/** Records the part of a round trip that was spent neither in the queue nor running. */
export function recordDelay(
  known: KnownWorker,
  delayMilliseconds: Milliseconds,
): void {
  const sample = Math.min(
    maximumDelayMilliseconds,
    Math.max(0, delayMilliseconds),
  );
  known.delayMilliseconds +=
    (sample - known.delayMilliseconds) * delaySampleWeight;
}

/** Records a failed or refused task: the worker receives no tasks for an exponential backoff. */
export function recordFailure(known: KnownWorker, now: Milliseconds): void {
  known.consecutiveFailures += 1;
  const backoffMilliseconds = Math.min(
    maximumBackoffMilliseconds,
    initialBackoffMilliseconds * 2 ** (known.consecutiveFailures - 1),
  );
  known.backoffUntil = now + backoffMilliseconds;
}

/**
 * Records that a task is sent to a worker whose last run failed: it receives no other until that one has succeeded.
 * The time is bounded, since a task that is not started has no result.
 */
export function recordProbe(
  known: KnownWorker,
  expectedMilliseconds: Milliseconds,
  now: Milliseconds,
): void {
  if (known.consecutiveFailures === 0) return;
  const waitMilliseconds =
    initialBackoffMilliseconds + 2 * expectedMilliseconds;
  known.backoffUntil =
    now + Math.min(maximumBackoffMilliseconds, waitMilliseconds);
}

/** Whether an evacuation alone keeps a worker that was heard lately from accepting tasks. */
export function isEvacuatedAndHeard(
  known: KnownWorker,
  now: Milliseconds,
): boolean {
  return (
    isWithdrawn(known) && now - known.lastHeardAt < maximumSilenceMilliseconds
  );
}

/** Whether the worker accepts tasks now. */
export function isUsable(known: KnownWorker, now: Milliseconds): boolean {
  return (
    !known.load.closed &&
    !known.isEvacuated &&
    now - known.echoReceivedAt < maximumSilenceMilliseconds &&
    known.backoffUntil <= now
  );
}

/**
 * Free processors by the latest load report, less those held back, those granted, and those of the orders that it does
 * not include.
 */
export function estimateFreeProcessors(known: KnownWorker): number {
  const ordered = known.unreportedOrders.reduce(
    (sum, order) => sum + order.processors,
    0,
  );
  const granted = known.outstandingGrants.reduce(
    (sum, { need }) => sum + need.processors,
    0,
  );
  const { free } = known.load;
  return free.processors - known.heldBackProcessors - ordered - granted;
}

/** Whether all free memory and accelerators that the task needs are there, by the latest load report and the grants. */
export function hasFreeMemory(
  { load, outstandingGrants }: KnownWorker,
  need: WorkerResources,
): boolean {
  let { memoryMebibytes, accelerators } = load.free;
  for (const { need: granted } of outstandingGrants) {
    memoryMebibytes -= granted.memoryMebibytes;
    accelerators -= granted.accelerators;
  }
  return (
    need.memoryMebibytes <= memoryMebibytes && need.accelerators <= accelerators
  );
}

/** Estimated queued work of the same or a more urgent priority, in processor-milliseconds. */
export function sumWorkAhead(known: KnownWorker, priority: number): number {
  const { waitingWork } = known.load;
  return waitingWork
    .slice(0, priority + 1)
    .reduce((sum, work) => sum + work, 0);
}

/** Estimated work of the orders that the latest load report does not include, in processor-milliseconds. */
export function sumUnreportedWork(known: KnownWorker): number {
  return known.unreportedOrders.reduce(
    (sum, order) => sum + order.workProcessorMilliseconds,
    0,
  );
}
