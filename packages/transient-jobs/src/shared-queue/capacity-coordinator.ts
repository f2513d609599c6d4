/**
 * Grants the capacity of the workers that this dispatcher coordinates. Requests of all dispatchers wait in one queue, and
 * a worker is bound to a task only when it has room: tasks neither wait at a busy worker while another is idle nor
 * compete for the same room. Built for loads near the capacity, where load reports are older than the time that a free
 * processor stays free. Grants are advice: the sidecar alone decides what starts.
 */
import type { Logger } from '@cranberryturn/logger';
import { Counter, Distribution, type Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  CapacityGrant,
  CapacityRequest,
  DispatcherId,
  Milliseconds,
  ServiceName,
} from '@cranberryturn/types';
import {
  type FromCoordinatorBody,
  FromCoordinatorKind,
  type FromCoordinatorMessage,
} from '@cranberryturn/wire';

import type { ChosenWorker } from '../choose-workers.js';
import { isUsable, type KnownWorker } from '../known-worker.js';
import {
  canEndInTime,
  CapacityQueue,
  computeWork,
  isTooLate,
  type QueuedRequest,
} from './capacity-queue.js';
import { estimateWait } from './estimate-wait.js';
import { GrantLedger } from './grant-ledger.js';
import { GrantedWork } from './granted-work.js';
import { planGrants } from './plan-grants.js';
import {
  canBeServed,
  hasRoom,
  isTooLong,
  measureCapacity,
  sumLoads,
} from './worker-pool.js';

/** Interval of the checks, and of the messages to dispatchers whose requests wait. */
const checkIntervalMilliseconds: Milliseconds = 100;

/** Dependencies of a coordinator. */
export interface CapacityCoordinatorOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** Factor by which a task runs longer on a rack without its input data. */
  readonly remoteFactor: number;
  /** The workers of a service that this dispatcher coordinates. */
  readonly listWorkers: (service: ServiceName) => readonly KnownWorker[];
  readonly send: (
    dispatcher: DispatcherId,
    message: FromCoordinatorMessage,
  ) => void;
}

/** The coordinator of a group of workers. */
export class CapacityCoordinator {
  readonly #options: CapacityCoordinatorOptions;
  readonly #queue = new CapacityQueue();
  readonly #grantedWork = new GrantedWork();
  readonly #ledger = new GrantLedger();
  readonly #ticker: TimerSubscription;

  constructor(options: CapacityCoordinatorOptions) {
    this.#options = options;
    this.#ticker = options.timers.every(checkIntervalMilliseconds, () => {
      this.#expireGrants();
      this.#dropHopeless();
      this.#reportStanding();
    });
  }

  /** Grants what is free, and queues the rest of the request or refuses all of it. */
  request(dispatcher: DispatcherId, request: CapacityRequest): void {
    const now = this.#options.timers.now();
    const entry: QueuedRequest = {
      dispatcher,
      request,
      dueAt: now + request.dueMilliseconds,
      usefulUntil: now + (request.usefulMilliseconds ?? Infinity),
      arrivedAt: now,
      tasks: request.tasks,
    };
    const workers = this.#listUsable(request.service);
    if (!canBeServed(entry, workers)) {
      this.#giveBack([entry], FromCoordinatorKind.Returned);
      return;
    }
    const planned = this.#plan(entry, workers);
    const plannedTasks = planned.reduce((sum, { tasks }) => sum + tasks, 0);
    const waiting = request.tasks - plannedTasks;
    const waitMilliseconds =
      waiting === 0 ? 0 : this.#estimateWait(entry, waiting, workers);
    if (isTooLong(request, waitMilliseconds)) {
      this.#send(entry, {
        kind: FromCoordinatorKind.Refusal,
        request: request.request,
        waitMilliseconds,
      });
      return;
    }
    this.#grant(entry, planned);
    if (entry.tasks > 0) this.#queue.add(entry);
  }

  /** Drops requests that their dispatcher has given up. */
  withdraw(dispatcher: DispatcherId, requests: readonly number[]): void {
    this.#drop(
      one =>
        one.dispatcher === dispatcher && requests.includes(one.request.request),
    );
  }

  /** Drops all requests of a dispatcher that was restarted or is gone. */
  dropDispatcher(dispatcher: DispatcherId): void {
    this.#drop(one => one.dispatcher === dispatcher);
  }

  /** Takes back grants that are not used. */
  returnGrants(grants: readonly number[]): void {
    for (const grant of grants) this.#ledger.release(grant);
    this.grantWaiting();
  }

  /** Uses capacity that a worker has reported free. */
  workerReported(known: KnownWorker): void {
    this.grantWaiting([known]);
  }

  /** Grants free capacity of the workers, or of all coordinated ones, to requests that wait. */
  grantWaiting(candidates?: readonly KnownWorker[]): void {
    if (this.#queue.size === 0) return;
    const now = this.#options.timers.now();
    const listCandidates = this.#cacheUsable(candidates);
    let hasGranted = false;
    this.#queue.visitByUrgency(now, entry => {
      const workers = listCandidates(entry.request.service);
      if (!workers.some(one => hasRoom(one, entry.request))) return;
      const planned = this.#plan(entry, workers);
      if (planned.length === 0) return;
      this.#grant(entry, planned);
      hasGranted = true;
    });
    if (hasGranted) this.#queue.removeMatching(({ tasks }) => tasks === 0);
  }

  close(): void {
    this.#ticker.cancel();
  }

  #drop(matches: (entry: QueuedRequest) => boolean): readonly QueuedRequest[] {
    const dropped = this.#queue.removeMatching(matches);
    for (const entry of dropped) entry.tasks = 0;
    return dropped;
  }

  #listUsable(service: ServiceName): readonly KnownWorker[] {
    const { timers, listWorkers } = this.#options;
    const now = timers.now();
    return listWorkers(service).filter(known => isUsable(known, now));
  }

  /** Lists the candidates, or else the usable workers of a service, once for many requests. */
  #cacheUsable(
    candidates?: readonly KnownWorker[],
  ): (service: ServiceName) => readonly KnownWorker[] {
    const usable = new Map<ServiceName, readonly KnownWorker[]>();
    return service => {
      const known = candidates ?? usable.get(service);
      if (known !== undefined) return known;
      const listed = this.#listUsable(service);
      usable.set(service, listed);
      return listed;
    };
  }

  #plan(
    entry: QueuedRequest,
    workers: readonly KnownWorker[],
  ): readonly ChosenWorker[] {
    const { random, timers, remoteFactor } = this.#options;
    return planGrants(entry, workers, {
      random,
      remoteFactor,
      now: timers.now(),
    });
  }

  #grant(entry: QueuedRequest, planned: readonly ChosenWorker[]): void {
    const { timers, metrics, logger } = this.#options;
    const { request, dispatcher } = entry;
    const now = timers.now();
    const grants: CapacityGrant[] = [];
    for (const { known, tasks } of planned) {
      grants.push(this.#ledger.grant(known, request.need, tasks, now));
      entry.tasks -= tasks;
      this.#grantedWork.add(request.priority, computeWork(request, tasks), now);
    }
    metrics.count(Counter.CapacityGrants, grants.length);
    metrics.record(
      Distribution.CapacityWaitMilliseconds,
      now - entry.arrivedAt,
      request.service,
    );
    logger.info('capacity granted', {
      requestId: request.requestId,
      jobId: request.jobId,
      dispatcher,
      grants,
      waitedMilliseconds: Math.round(now - entry.arrivedAt),
      tasksWaiting: entry.tasks,
    });
    this.#send(entry, {
      kind: FromCoordinatorKind.Grants,
      request: request.request,
      grants,
    });
  }

  /** Expected wait for the last of the tasks of an entry. */
  #estimateWait(
    entry: QueuedRequest,
    tasks: number,
    workers: readonly KnownWorker[],
  ): Milliseconds {
    const { request } = entry;
    const now = this.#options.timers.now();
    return estimateWait({
      ...sumLoads(workers),
      moreUrgentProcessors: this.#grantedWork.measureMoreUrgent(
        request.priority,
        now,
      ),
      missingProcessors: request.need.processors,
      workUntilLast:
        this.#queue.sumWorkBefore(entry, now) + computeWork(request, tasks),
    });
  }

  #send(
    { dispatcher, request }: QueuedRequest,
    body: FromCoordinatorBody,
  ): void {
    this.#options.send(dispatcher, {
      ...body,
      capacity: measureCapacity(
        this.#listUsable(request.service),
        dispatcher,
        this.#queue.sumWork(request.service),
      ),
    });
  }

  #expireGrants(): void {
    const { timers, logger, metrics } = this.#options;
    const grants = this.#ledger.expire(timers.now());
    if (grants.length > 0) {
      metrics.count(Counter.CapacityGrantsExpired, grants.length);
      logger.info('grants not used', { grants });
    }
    // Also finds workers that have become usable without a report.
    this.grantWaiting();
  }

  /** Gives back requests that no worker of this coordinator can serve now, and those that are of no use any more. */
  #dropHopeless(): void {
    if (this.#queue.size === 0) return;
    const now = this.#options.timers.now();
    const listUsable = this.#cacheUsable();
    this.#giveBack(
      this.#drop(entry => this.#isHopeless(entry, now, listUsable)),
      FromCoordinatorKind.Expired,
    );
    this.#giveBack(
      this.#drop(
        entry => !canBeServed(entry, listUsable(entry.request.service)),
      ),
      FromCoordinatorKind.Returned,
    );
  }

  /** Whether a job none of whose tasks has started is expected to end too late to be of use. */
  #isHopeless(
    entry: QueuedRequest,
    now: Milliseconds,
    listUsable: (service: ServiceName) => readonly KnownWorker[],
  ): boolean {
    const { request, tasks } = entry;
    if (tasks < request.tasks || canEndInTime(entry, now)) return false;
    const waitMilliseconds = this.#estimateWait(
      entry,
      tasks,
      listUsable(request.service),
    );
    return isTooLate(entry, now + waitMilliseconds);
  }

  #giveBack(
    entries: readonly QueuedRequest[],
    kind: FromCoordinatorKind.Returned | FromCoordinatorKind.Expired,
  ): void {
    for (const entry of entries)
      this.#send(entry, { kind, request: entry.request.request });
  }

  #reportStanding(): void {
    for (const entries of this.#queue.groupByDispatcher().values()) {
      const [first] = entries;
      if (first === undefined) continue;
      this.#send(first, {
        kind: FromCoordinatorKind.Standing,
        requests: entries.map(({ request }) => request.request),
      });
    }
  }
}
