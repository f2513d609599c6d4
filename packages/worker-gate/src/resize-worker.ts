/** Applies a changed capacity to the description of a worker. */
import type { Logger } from '@cranberryturn/logger';
import type { WorkerResources, WorkerRun } from '@cranberryturn/types';

/** Logs a changed capacity and returns the worker with it; undefined when it has that capacity already. */
export function resizeWorker(
  worker: WorkerRun,
  capacity: WorkerResources,
  logger: Logger,
): WorkerRun | undefined {
  if (isEqual(worker.capacity, capacity)) return undefined;
  logger.info('capacity of the worker changed', {
    worker: worker.workerId,
    from: worker.capacity,
    to: capacity,
  });
  const largestCapacity = mergeLargest(
    worker.largestCapacity ?? worker.capacity,
    capacity,
  );
  return { ...worker, capacity, largestCapacity };
}

function isEqual(left: WorkerResources, right: WorkerResources): boolean {
  return (
    left.processors === right.processors &&
    left.memoryMebibytes === right.memoryMebibytes &&
    left.accelerators === right.accelerators
  );
}

function mergeLargest(
  left: WorkerResources,
  right: WorkerResources,
): WorkerResources {
  return {
    processors: Math.max(left.processors, right.processors),
    memoryMebibytes: Math.max(left.memoryMebibytes, right.memoryMebibytes),
    accelerators: Math.max(left.accelerators, right.accelerators),
  };
}
