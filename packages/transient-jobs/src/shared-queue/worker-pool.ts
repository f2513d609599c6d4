/** What the workers of a coordinator can do for a request, together. */
import type {
  CapacityRequest,
  CoordinatedCapacity,
  DispatcherId,
  Milliseconds,
} from '@cranberryturn/types';

import { canEverHold } from '../choose-workers.js';
import { estimateFreeProcessors, type KnownWorker } from '../known-worker.js';
import type { QueuedRequest } from './capacity-queue.js';
import { estimateWait, type WaitInput } from './estimate-wait.js';

/** Whether some worker may run the tasks of a request, now or once it has room. */
export function canBeServed(
  { dispatcher, request }: QueuedRequest,
  workers: readonly KnownWorker[],
): boolean {
  const { confinedTo } = request.hosts ?? {};
  return workers.some(
    known =>
      known.coordination.dispatchers.has(dispatcher) &&
      confinedTo?.includes(known.host) !== false &&
      canEverHold(known, request),
  );
}

/** Whether a worker can start a task of the request now. */
export function hasRoom(
  known: KnownWorker,
  { need }: CapacityRequest,
): boolean {
  return estimateFreeProcessors(known) >= need.processors;
}

/** The loads of all workers together; work that waits at a worker is as much before a request as running work. */
export function sumLoads(
  workers: readonly KnownWorker[],
): Pick<WaitInput, 'processors' | 'busyProcessors' | 'runningWork'> {
  let processors = 0;
  let busyProcessors = 0;
  let runningWork = 0;
  for (const known of workers) {
    const { capacity } = known.worker;
    processors += capacity.processors;
    busyProcessors +=
      capacity.processors - Math.max(0, estimateFreeProcessors(known));
    runningWork += known.load.runningWork + sum(known.load.waitingWork);
  }
  return { processors, busyProcessors, runningWork };
}

/** The state of the workers that a dispatcher can reach, with the work that is queued for all of them. */
export function measureCapacity(
  workers: readonly KnownWorker[],
  dispatcher: DispatcherId,
  queuedWork: number,
): CoordinatedCapacity {
  const load = sumLoads(
    workers.filter(({ coordination }) =>
      coordination.dispatchers.has(dispatcher),
    ),
  );
  return {
    freeProcessors: load.processors - load.busyProcessors,
    waitMilliseconds: estimateWait({
      ...load,
      moreUrgentProcessors: 0,
      missingProcessors: 0,
      workUntilLast: queuedWork,
    }),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Whether a request is not accepted with its expected wait. */
export function isTooLong(
  { maximumWaitMilliseconds }: CapacityRequest,
  waitMilliseconds: Milliseconds,
): boolean {
  return (
    waitMilliseconds > 0 &&
    maximumWaitMilliseconds !== undefined &&
    waitMilliseconds > maximumWaitMilliseconds
  );
}
