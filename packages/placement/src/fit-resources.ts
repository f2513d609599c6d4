/** Compares the resources that tasks need with the resources of workers. */
import type { DeclaredResources, WorkerResources } from '@cranberryturn/types';

/** Resources reserved for running tasks. */
export interface ReservedResources {
  processors: number;
  memoryMebibytes: number;
  accelerators: number;
}

/** Describes the resource for which a worker can never hold a task; undefined when the worker can. */
export function findMissingResource(
  worker: WorkerResources,
  declared: DeclaredResources,
): string | undefined {
  if ((declared.processors ?? 0) > worker.processors)
    return `${String(declared.processors)} processors (largest worker: ${String(worker.processors)})`;
  if ((declared.memoryMebibytes ?? 0) > worker.memoryMebibytes)
    return `${String(declared.memoryMebibytes)} MiB of memory (largest worker: ${String(worker.memoryMebibytes)})`;
  if ((declared.accelerators ?? 0) > worker.accelerators)
    return `${String(declared.accelerators)} accelerators (largest worker: ${String(worker.accelerators)})`;
  return undefined;
}

/** Whether the unreserved resources of a worker suffice for the task. */
export function hasRoomNow(
  worker: WorkerResources,
  reserved: ReservedResources,
  declared: DeclaredResources,
): boolean {
  return (
    reserved.processors + (declared.processors ?? 0) <= worker.processors &&
    reserved.memoryMebibytes + (declared.memoryMebibytes ?? 0) <=
      worker.memoryMebibytes &&
    reserved.accelerators + (declared.accelerators ?? 0) <= worker.accelerators
  );
}

/** Adds the resources of a task to the reservation, or removes them when `sign` is -1. */
export function reserveResources(
  reserved: ReservedResources,
  declared: DeclaredResources,
  sign: 1 | -1,
): void {
  reserved.processors += sign * (declared.processors ?? 0);
  reserved.memoryMebibytes += sign * (declared.memoryMebibytes ?? 0);
  reserved.accelerators += sign * (declared.accelerators ?? 0);
}
