/** Chooses the coordinator to request capacity from, where several coordinate workers of a service. */
import type { TimerService } from '@cranberryturn/timers';
import type {
  CoordinatedCapacity,
  DispatcherId,
  ServiceName,
} from '@cranberryturn/types';

import { canEverHold } from '../choose-workers.js';
import { isUsable, type KnownWorker } from '../known-worker.js';
import type { JobStep } from '../transient-job.js';

/** Dependencies of the choice. */
export interface CoordinatorChoiceOptions {
  readonly timers: TimerService;
  readonly isConnected: (coordinator: DispatcherId) => boolean;
  readonly listWorkers: (service: ServiceName) => Iterable<KnownWorker>;
}

/** What one dispatcher knows of the coordinators. */
export class CoordinatorChoice {
  readonly #options: CoordinatorChoiceOptions;
  /** Coordinators that have not answered in time and were not heard since. */
  readonly #silent = new Set<DispatcherId>();
  readonly #capacities = new Map<DispatcherId, CoordinatedCapacity>();

  constructor(options: CoordinatorChoiceOptions) {
    this.#options = options;
  }

  recordHeard(coordinator: DispatcherId, capacity?: CoordinatedCapacity): void {
    this.#silent.delete(coordinator);
    if (capacity !== undefined) this.#capacities.set(coordinator, capacity);
  }

  recordSilence(coordinator: DispatcherId): void {
    this.#silent.add(coordinator);
    this.#capacities.delete(coordinator);
  }

  /** The latest state of the workers of a coordinator. */
  findCapacity(coordinator: DispatcherId): CoordinatedCapacity {
    return this.#capacities.get(coordinator) ?? unknownCapacity;
  }

  /** The coordinator with the shortest expected wait, then with the most free processors; undefined without any. */
  choose(service: ServiceName, step: JobStep): DispatcherId | undefined {
    const { timers, isConnected, listWorkers } = this.#options;
    const now = timers.now();
    const coordinators = new Set<DispatcherId>();
    for (const known of listWorkers(service)) {
      const { coordinator } = known.coordination;
      if (coordinator === undefined || this.#silent.has(coordinator)) continue;
      if (isUsable(known, now) && canEverHold(known, step))
        coordinators.add(coordinator);
    }
    let best: DispatcherId | undefined;
    for (const coordinator of coordinators) {
      if (!isConnected(coordinator)) continue;
      if (best === undefined || this.#isLessLoaded(coordinator, best))
        best = coordinator;
    }
    return best;
  }

  #isLessLoaded(left: DispatcherId, right: DispatcherId): boolean {
    const one = this.findCapacity(left);
    const other = this.findCapacity(right);
    if (one.waitMilliseconds !== other.waitMilliseconds)
      return one.waitMilliseconds < other.waitMilliseconds;
    return one.freeProcessors > other.freeProcessors;
  }
}

const unknownCapacity: CoordinatedCapacity = {
  freeProcessors: 0,
  waitMilliseconds: 0,
};
