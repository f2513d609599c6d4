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
  /** When the end of the job is of no use any more, while nothing was granted for it. */
  readonly usefulUntil: Milliseconds;
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
    const isRemoved = new Set(removed);
    if (removed.length > 0)
      this.#entries = this.#entries.filter(entry => !isRemoved.has(entry));
    return removed;
  }

  groupByDispatcher(): ReadonlyMap<DispatcherId, readonly QueuedRequest[]> {
    const groups = new Map<DispatcherId, QueuedRequest[]>();
    for (const entry of this.#entries) {
      const group = groups.get(entry.dispatcher) ?? [];
      group.push(entry);
      groups.set(entry.dispatcher, group);
    }
    return groups;
  }

  /**
   * Visits the requests in the order in which they get capacity: by priority, then those that can still end in time,
   * then by due time. A job that is late anyway does not make the next one late as well.
   */
  visitByUrgency(
    now: Milliseconds,
    visit: (entry: QueuedRequest) => void,
  ): void {
    const entries = this.#entries;
    let first = 0;
    while (first < entries.length) {
      const priority = entries[first]?.request.priority;
      let end = first;
      while (entries[end]?.request.priority === priority) end += 1;
      for (const isInTime of [true, false]) {
        for (let position = first; position < end; position += 1) {
          const entry = entries[position];
          if (entry !== undefined && canEndInTime(entry, now) === isInTime)
            visit(entry);
        }
      }
      first = end;
    }
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
      if (other === entry) continue;
      if (other.request.priority > entry.request.priority) break;
      const isMoreUrgent = other.request.priority < entry.request.priority;
      const isOtherInTime = canEndInTime(other, now);
      const isBefore =
        isOtherInTime === isInTime ? other.dueAt <= entry.dueAt : isOtherInTime;
      if (isMoreUrgent || isBefore)
        work += computeWork(other.request, other.tasks);
    }
    return work;
  }
}

/** Whether the end of a job is of no use if its tasks start at the time. */
export function isTooLate(
  { request, usefulUntil }: QueuedRequest,
  startsAt: Milliseconds,
): boolean {
  return startsAt + request.estimatedMilliseconds > usefulUntil;
}

/** Expected work of tasks of a request, in processor-milliseconds. */
export function computeWork(
  { need, estimatedMilliseconds }: CapacityRequest,
  tasks: number,
): number {
  return need.processors * estimatedMilliseconds * tasks;
}

/** Whether the job can still end in time. */
export function canEndInTime(
  { request, dueAt }: Urgency,
  now: Milliseconds,
): boolean {
  return now + request.estimatedMilliseconds <= dueAt;
}

type Urgency = Pick<QueuedRequest, 'request' | 'dueAt'>;

function compareUrgency(left: Urgency, right: Urgency): number {
  const byPriority = left.request.priority - right.request.priority;
  return byPriority === 0 ? left.dueAt - right.dueAt : byPriority;
}
