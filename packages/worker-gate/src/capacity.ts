/** Counts what the runs of one worker use of it. */
import { findMissingResource } from '@cranberryturn/placement';
import type { WorkerResources } from '@cranberryturn/types';

/** Capacity of one worker. */
export class Capacity {
  readonly total: WorkerResources;
  #used: WorkerResources = {
    processors: 0,
    memoryMebibytes: 0,
    accelerators: 0,
  };

  constructor(total: WorkerResources) {
    this.total = total;
  }

  get free(): WorkerResources {
    return addResources(this.total, this.#used, -1);
  }

  /** Whether the worker could hold it with nothing else at work. */
  canEverHold(need: WorkerResources): boolean {
    return findMissingResource(this.total, need) === undefined;
  }

  canHold(need: WorkerResources): boolean {
    return findMissingResource(this.free, need) === undefined;
  }

  take(need: WorkerResources): void {
    this.#used = addResources(this.#used, need, 1);
  }

  giveBack(need: WorkerResources): void {
    this.#used = addResources(this.#used, need, -1);
  }
}

function addResources(
  left: WorkerResources,
  right: WorkerResources,
  sign: 1 | -1,
): WorkerResources {
  return {
    processors: roundProcessors(left.processors + sign * right.processors),
    memoryMebibytes: left.memoryMebibytes + sign * right.memoryMebibytes,
    accelerators: left.accelerators + sign * right.accelerators,
  };
}

const processorParts = 1_000;

/** Sums of thousandths of a processor stay exact. */
function roundProcessors(processors: number): number {
  return Math.round(processors * processorParts) / processorParts;
}
