/** Chooses the coordinator to request capacity from, where several coordinate workers of a service. */
import type { TimerService } from '@cranberryturn/timers';
import type {
  CapacityRequest,
  CoordinatedCapacity,
  DispatcherId,
  Milliseconds,
  ServiceName,
  TargetId,
} from '@cranberryturn/types';

import { canEverHold } from '../choose-workers.js';
import { isUsable, type KnownWorker } from '../known-worker.js';
import type { JobStep } from '../transient-job.js';

/** Free processors are taken again within milliseconds, and waits pass. */
const validityMilliseconds: Milliseconds = 300;

/** A coordinator that is overloaded gets fewer requests, and one that is lost costs few jobs a timeout. */
const initialPauseMilliseconds: Milliseconds = 200;
const maximumPauseMilliseconds: Milliseconds = 2_000;

interface Silence {
  /** Number of requests in a row without an answer in time. */
  readonly count: number;
  readonly until: Milliseconds;
}

interface KnownCapacity extends CoordinatedCapacity {
  readonly heardAt: Milliseconds;
}

/** The tasks that a coordinator is chosen for. */
interface ChosenFor {
  readonly step: JobStep;
  readonly request: Pick<CapacityRequest, 'service' | 'need'>;
  readonly excludedWorkers: ReadonlySet<TargetId>;
}

/** Dependencies of the choice. */
export interface CoordinatorChoiceOptions {
  readonly timers: TimerService;
  readonly isConnected: (coordinator: DispatcherId) => boolean;
  readonly listWorkers: (service: ServiceName) => Iterable<KnownWorker>;
}

/** What one dispatcher knows of the coordinators. */
export class CoordinatorChoice {
  readonly #options: CoordinatorChoiceOptions;
  /** Coordinators that have not answered in time. */
  readonly #silences = new Map<DispatcherId, Silence>();
  readonly #capacities = new Map<DispatcherId, KnownCapacity>();

  constructor(options: CoordinatorChoiceOptions) {
    this.#options = options;
  }

  recordCapacity(
    coordinator: DispatcherId,
    capacity: CoordinatedCapacity,
  ): void {
    const heardAt = this.#options.timers.now();
    this.#capacities.set(coordinator, { ...capacity, heardAt });
  }

  /** Records that a coordinator has answered a request in time. */
  recordAnswer(coordinator: DispatcherId): void {
    this.#silences.delete(coordinator);
  }

  /** Records that a coordinator has not answered in time. It gets no request for a time that doubles with each silence. */
  recordSilence(coordinator: DispatcherId): void {
    const count = (this.#silences.get(coordinator)?.count ?? 0) + 1;
    const pauseMilliseconds = Math.min(
      maximumPauseMilliseconds,
      initialPauseMilliseconds * 2 ** (count - 1),
    );
    const until = this.#options.timers.now() + pauseMilliseconds;
    this.#silences.set(coordinator, { count, until });
    this.#capacities.delete(coordinator);
  }

  /** Forgets what is known of a coordinator whose connection has ended. */
  forget(coordinator: DispatcherId): void {
    this.#silences.delete(coordinator);
    this.#capacities.delete(coordinator);
  }

  /** The latest state of the workers of a coordinator; all are expected to be free where it is not known any more. */
  findCapacity(coordinator: DispatcherId): CoordinatedCapacity {
    const known = this.#capacities.get(coordinator);
    const isRecent =
      known !== undefined &&
      this.#options.timers.now() - known.heardAt < validityMilliseconds;
    return isRecent ? known : unknownCapacity;
  }

  /**
   * The coordinator with the shortest expected wait, then with the most free processors; undefined without any but
   * those that were tried.
   */
  choose(
    service: ServiceName,
    step: JobStep,
    tried: ReadonlySet<DispatcherId> = new Set(),
  ): DispatcherId | undefined {
    const { timers, isConnected, listWorkers } = this.#options;
    const now = timers.now();
    const coordinators = new Set<DispatcherId>();
    for (const known of listWorkers(service)) {
      const { coordinator } = known.coordination;
      if (coordinator === undefined || tried.has(coordinator)) continue;
      if ((this.#silences.get(coordinator)?.until ?? 0) > now) continue;
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

  /** A coordinator that was not tried and seems to have room, or a shorter wait than the present one. */
  chooseBetter(
    { request, step }: ChosenFor,
    present: DispatcherId,
    tried: ReadonlySet<DispatcherId>,
  ): DispatcherId | undefined {
    const other = this.choose(request.service, step, tried);
    if (other === undefined) return undefined;
    const { freeProcessors, waitMilliseconds } = this.findCapacity(other);
    const hasRoom = freeProcessors >= request.need.processors;
    const isShorter =
      waitMilliseconds < this.findCapacity(present).waitMilliseconds;
    return hasRoom || isShorter ? other : undefined;
  }

  /** The workers that a request to the coordinator excludes: those of the tasks, and those that cannot be used from here. */
  listExcluded(
    { excludedWorkers, request }: ChosenFor,
    coordinator: DispatcherId,
  ): readonly TargetId[] {
    const { timers, listWorkers } = this.#options;
    const now = timers.now();
    const excluded = new Set(excludedWorkers);
    for (const known of listWorkers(request.service)) {
      const isCoordinated = known.coordination.coordinator === coordinator;
      if (isCoordinated && !isUsable(known, now)) excluded.add(known.workerId);
    }
    return [...excluded];
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
  freeProcessors: Infinity,
  waitMilliseconds: 0,
};
