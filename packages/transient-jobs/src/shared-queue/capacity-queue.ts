/** Requests for capacity that wait at a coordinator, in the order of their urgency. */
import type {
  CapacityRequest,
  DispatcherId,
  Milliseconds,
  ServiceName,
} from '@cranberryturn/types';

/** A request that waits. */
export interface QueuedRequest {
  readonly dispatcher: DispatcherId;
  readonly request: CapacityRequest;
  /** When the job should have ended. */
  readonly dueAt: Milliseconds;
  readonly arrivedAt: Milliseconds;
  /** Number of tasks without a grant. */
  tasks: number;
}

/** The requests of all dispatchers that wait. */
export class CapacityQueue {
  #entries: QueuedRequest[] = [];

  get size(): number {
    return this.#entries.length;
  }

  add(entry: QueuedRequest): void {
    let position = this.#entries.length;
    while (position > 0) {
      const before = this.#entries[position - 1];
      if (before === undefined || compareUrgency(before, entry) <= 0) break;
      position -= 1;
    }
    this.#entries.splice(position, 0, entry);
  }

  /** Removes and returns the requests that match. */
  removeMatching(
    matches: (entry: QueuedRequest) => boolean,
  ): readonly QueuedRequest[] {
    const removed = this.#entries.filter(matches);
    if (removed.length > 0)
      this.#entries = this.#entries.filter(entry => !matches(entry));
    return removed;
  }

  /**
   * The requests in the order in which they get capacity: by priority, then those that can still end in time, then by
   * due time. A job that is late anyway does not make the next one late as well.
   */
  listByUrgency(now: Milliseconds): readonly QueuedRequest[] {
    const ordered: QueuedRequest[] = [];
    let late: QueuedRequest[] = [];
    let priority = 0;
    for (const entry of this.#entries) {
      if (entry.request.priority !== priority) {
        ordered.push(...late);
        late = [];
        ({ priority } = entry.request);
      }
      (canEndInTime(entry, now) ? ordered : late).push(entry);
    }
    return [...ordered, ...late];
  }

  /** Requested work of a service, in processor-milliseconds. */
  sumWork(service: ServiceName): number {
    let work = 0;
    for (const { request, tasks } of this.#entries)
      if (request.service === service) work += computeWork(request, tasks);
    return work;
  }

  /** Requested work that gets capacity before an entry, in processor-milliseconds. */
  sumWorkBefore(entry: Urgency, now: Milliseconds): number {
    const isInTime = canEndInTime(entry, now);
    let work = 0;
    for (const other of this.#entries) {
      if (compareUrgency(other, entry) > 0) break;
      const isBehind =
        isInTime &&
        other.request.priority === entry.request.priority &&
        !canEndInTime(other, now);
      if (!isBehind) work += computeWork(other.request, other.tasks);
    }
    return work;
  }
}

/** Expected work of tasks of a request, in processor-milliseconds. */
export function computeWork(
  { need, estimatedMilliseconds }: CapacityRequest,
  tasks: number,
): number {
  return need.processors * estimatedMilliseconds * tasks;
}

function canEndInTime({ request, dueAt }: Urgency, now: Milliseconds): boolean {
  return now + request.estimatedMilliseconds <= dueAt;
}

type Urgency = Pick<QueuedRequest, 'request' | 'dueAt'>;

function compareUrgency(left: Urgency, right: Urgency): number {
  const byPriority = left.request.priority - right.request.priority;
  return byPriority === 0 ? left.dueAt - right.dueAt : byPriority;
}
