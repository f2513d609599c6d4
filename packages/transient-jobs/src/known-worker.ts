/** One worker as a dispatcher sees it through its sidecar. */
import type {
  Milliseconds,
  RunOrder,
  TargetId,
  WorkerLoad,
  WorkerRun,
} from '@cranberryturn/types';

/** An order that the last report of the load may not count yet. */
interface RecentOrder {
  /** Its number among the orders of the session. */
  readonly order: number;
  readonly processors: number;
  readonly work: number;
}

/** A worker. Changed by its owner only. */
export interface KnownWorker {
  readonly workerId: TargetId;
  worker: WorkerRun;
  load: WorkerLoad;
  /** When the last message of its sidecar arrived. */
  heardAt: Milliseconds;
  /** Run time of others on equal tasks, divided by its own; 1 is ordinary. */
  speed: number;
  /** Time that orders and ends take on their way and in the sidecar, which may be on a slow host. */
  delay: Milliseconds;
  /** Failures in a row. */
  failures: number;
  /** It is given no task before this time. */
  avoidedUntil: Milliseconds;
  recent: RecentOrder[];
}

const newestSpeedWeight = 0.15;
const newestDelayWeight = 0.2;
/** A single stall must not keep work away for long. */
const longestDelay: Milliseconds = 150;
const lowestSpeed = 0.1;
const highestSpeed = 4;
const firstAvoidance: Milliseconds = 400;
const longestAvoidance: Milliseconds = 5_000;
/** Sidecars send something every 400 ms at the least; a worker that is silent for longer gets no task. */
const longestSilence: Milliseconds = 550;

/** Creates the view of a worker that was announced. */
export function createKnownWorker(
  worker: WorkerRun,
  load: WorkerLoad,
  now: Milliseconds,
): KnownWorker {
  return {
    workerId: worker.workerId,
    worker,
    load,
    heardAt: now,
    speed: 1,
    delay: 0,
    failures: 0,
    avoidedUntil: 0,
    recent: [],
  };
}

/** Takes in a report of the load, which counts the orders up to a number. */
export function noteLoad(
  known: KnownWorker,
  load: WorkerLoad,
  orders: number,
  now: Milliseconds,
): void {
  known.load = load;
  known.heardAt = now;
  known.recent = known.recent.filter(({ order }) => order > orders);
}

/** Counts what an order takes until a report counts it. */
export function noteOrder(
  known: KnownWorker,
  order: number,
  { need, tasks, estimatedMilliseconds }: RunOrder,
): void {
  const processors = need.processors * tasks.length;
  const work = processors * estimatedMilliseconds;
  known.recent.push({ order, processors, work });
}

/** Learns from a task that was done in `actual` where `expected` was usual. */
export function noteDone(
  known: KnownWorker,
  expected: Milliseconds,
  actual: Milliseconds,
): void {
  known.failures = 0;
  known.avoidedUntil = 0;
  const seen = Math.min(
    highestSpeed,
    Math.max(lowestSpeed, expected / Math.max(1, actual)),
  );
  known.speed *= (seen / known.speed) ** newestSpeedWeight;
}

/** Learns from the time that a run took beyond waiting and running. */
export function noteDelay(known: KnownWorker, delay: Milliseconds): void {
  const seen = Math.min(longestDelay, Math.max(0, delay));
  known.delay += (seen - known.delay) * newestDelayWeight;
}

/** Gives a worker that failed a task, or refused one, a pause that grows. */
export function noteFailure(known: KnownWorker, now: Milliseconds): void {
  known.failures += 1;
  const pause = Math.min(
    longestAvoidance,
    firstAvoidance * 2 ** (known.failures - 1),
  );
  known.avoidedUntil = now + pause;
}

/** Whether tasks may be given to the worker now. */
export function isUsable(known: KnownWorker, now: Milliseconds): boolean {
  return (
    !known.load.closed &&
    now - known.heardAt < longestSilence &&
    known.avoidedUntil <= now
  );
}

/** What the worker has free, less what was sent since its last report. */
export function countFreeProcessors(known: KnownWorker): number {
  return known.recent.reduce(
    (free, order) => free - order.processors,
    known.load.free.processors,
  );
}

/** Estimated work that goes before a new task, in processor-milliseconds. */
export function countWorkAhead(known: KnownWorker, priority: number): number {
  const { waitingWork } = known.load;
  return waitingWork
    .slice(0, priority + 1)
    .reduce((sum, work) => sum + work, 0);
}

/** Estimated work sent since the last report, in processor-milliseconds. */
export function countRecentWork(known: KnownWorker): number {
  return known.recent.reduce((sum, order) => sum + order.work, 0);
}
