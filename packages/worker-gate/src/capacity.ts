/** Accounts for the resources that runs use on one worker. */
import { findMissingResource } from '@cranberryturn/placement';
import type { WorkerResources } from '@cranberryturn/types';

/** Total, used and free resources of one worker. */
export class Capacity {
  #total: WorkerResources;
  #used: WorkerResources = {
    processors: 0,
    memoryMebibytes: 0,
    accelerators: 0,
  };

  constructor(total: WorkerResources) {
    this.#total = total;
  }

  get total(): WorkerResources {
    return this.#total;
  }

  /** Free resources; negative after the worker has shrunk below what its runs use. */
  get free(): WorkerResources {
    return addResources(this.total, this.#used, -1);
  }

  /** Whether the worker, when idle, has the resources. */
  canEverHold(need: WorkerResources): boolean {
    return findMissingResource(this.total, need) === undefined;
  }

  /** Whether the worker has the resources free now. */
  canHold(need: WorkerResources): boolean {
    return findMissingResource(this.free, need) === undefined;
  }

  /** Applies a changed capacity; runs that use more of it go on. */
  resize(total: WorkerResources): void {
    this.#total = total;
  }

  reserve(need: WorkerResources): void {
    this.#used = addResources(this.#used, need, 1);
  }

  release(need: WorkerResources): void {
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

const partsPerProcessor = 1_000;

/** Rounds to thousandths of a processor, so that sums stay exact. */
function roundProcessors(processors: number): number {
  return Math.round(processors * partsPerProcessor) / partsPerProcessor;
}
