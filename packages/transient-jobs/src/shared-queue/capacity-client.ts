/**
 * Requests capacity for the tasks of this dispatcher from the coordinators of the workers. A coordinator that does not
 * answer is not waited for: its tasks are placed by load reports, as without it.
 */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  CapacityGrant,
  CapacityRequest,
  DispatcherId,
  GrantKey,
  Milliseconds,
  ServiceName,
  TargetId,
} from '@cranberryturn/types';
import {
  FromCoordinatorKind,
  type FromCoordinatorMessage,
  ToCoordinatorKind,
} from '@cranberryturn/wire';

import { type ActiveJob, type ActiveTask, TaskPhase } from '../active-job.js';
import { isUsable, type KnownWorker } from '../known-worker.js';
import type { JobStep, TransientJob } from '../transient-job.js';
import { CoordinatorChoice } from './coordinator-choice.js';
import type { CoordinatorLinks } from './coordinator-links.js';

/** A coordinator answers within a few milliseconds, unless it or the network is in trouble. */
const answerTimeoutMilliseconds: Milliseconds = 30;
/** While requests wait, their coordinator sends a message every 50 ms. */
const standingTimeoutMilliseconds: Milliseconds = 150;
/** Messages that arrived while this process was busy are handled before a timeout counts. */
const backlogMilliseconds: Milliseconds = 3;

/** Tasks to request capacity for, which are placed alike. */
export interface RequestedTasks {
  readonly active: ActiveJob;
  readonly step: JobStep;
  readonly tasks: readonly ActiveTask[];
  /** The request, but for its number and the workers that cannot be used. */
  readonly request: Omit<
    CapacityRequest,
    'request' | 'tasks' | 'excludedWorkers'
  >;
  /** Workers to use only when no other is left. */
  readonly excludedWorkers: ReadonlySet<TargetId>;
}

/** Dependencies and event handlers of the client. */
export interface CapacityClientOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly links: Pick<CoordinatorLinks, 'isConnected' | 'sendToCoordinator'>;
  readonly listWorkers: (service: ServiceName) => Iterable<KnownWorker>;
  readonly findWorker: (workerId: TargetId) => KnownWorker | undefined;
  /** Capacity was granted for some tasks; they are placed at once. */
  readonly granted: (
    requested: RequestedTasks,
    tasks: readonly ActiveTask[],
    known: KnownWorker,
    grant: GrantKey,
  ) => void;
  /** The coordinator has accepted a request, some of whose tasks may wait. */
  readonly accepted: (
    requested: RequestedTasks,
    waitMilliseconds: Milliseconds,
  ) => void;
  /** The coordinator has refused a request. None of its tasks has a grant. */
  readonly refused: (
    requested: RequestedTasks,
    waitMilliseconds: Milliseconds,
  ) => void;
  /** Whether tasks may be placed now; not shortly after this process was suspended. */
  readonly mayPlace: () => boolean;
  /** Some requested tasks of the job wait again, and are to be placed without a grant. */
  readonly returned: (active: ActiveJob) => void;
}

interface OpenRequest {
  readonly number: number;
  readonly coordinator: DispatcherId;
  readonly requested: RequestedTasks;
  /** Tasks without a grant. */
  tasks: readonly ActiveTask[];
  isAnswered: boolean;
  timeout: TimerSubscription;
}

/** The requests of one dispatcher. */
export class CapacityClient {
  readonly #options: CapacityClientOptions;
  readonly #requests = new Map<number, OpenRequest>();
  readonly #choice: CoordinatorChoice;
  #lastRequest = 0;

  constructor(options: CapacityClientOptions) {
    this.#options = options;
    this.#choice = new CoordinatorChoice({
      ...options,
      isConnected: coordinator => options.links.isConnected(coordinator),
    });
  }

  /** Requests capacity. False without a coordinator that can grant it. */
  request(requested: RequestedTasks): boolean {
    const { service } = requested.request;
    const coordinator = this.#choice.choose(service, requested.step);
    if (coordinator === undefined) return false;
    const { links, timers } = this.#options;
    this.#lastRequest += 1;
    const number = this.#lastRequest;
    const open: OpenRequest = {
      number,
      coordinator,
      requested,
      tasks: requested.tasks,
      isAnswered: false,
      timeout: timers.after(answerTimeoutMilliseconds, () => {
        this.#checkTimeout(open);
      }),
    };
    this.#requests.set(number, open);
    for (const task of requested.tasks) task.phase = TaskPhase.Requested;
    links.sendToCoordinator(coordinator, {
      kind: ToCoordinatorKind.Request,
      request: {
        ...requested.request,
        request: number,
        tasks: requested.tasks.length,
        excludedWorkers: this.#listExcluded(requested, coordinator),
      },
    });
    return true;
  }

  /** Whether some coordinator can grant capacity for each step of the job. */
  isAvailable({ queue, steps }: TransientJob): boolean {
    return steps.every(
      step => this.#choice.choose(queue.service, step) !== undefined,
    );
  }

  /** Withdraws the requests of a job that has ended. */
  withdraw(active: ActiveJob): void {
    for (const open of this.#requests.values())
      if (open.requested.active === active) this.#withdraw(open);
  }

  /** Handles a message of a coordinator. */
  handle(coordinator: DispatcherId, message: FromCoordinatorMessage): void {
    this.#choice.recordHeard(coordinator, message.capacity);
    switch (message.kind) {
      case FromCoordinatorKind.Grants:
        this.#handleGrants(coordinator, message.request, message.grants);
        return;
      case FromCoordinatorKind.Refusal:
        this.#handleRefusal(message.request, message.waitMilliseconds);
        return;
      case FromCoordinatorKind.Returned:
        this.#handleReturn(message.request);
        return;
      case FromCoordinatorKind.Standing:
        for (const request of message.requests) {
          const open = this.#requests.get(request);
          if (open !== undefined) this.#expectStanding(open);
          else this.#sendWithdrawal(coordinator, request);
        }
        return;
    }
  }

  /** Uses a coordinator again whose connection stands again. */
  coordinatorConnected(coordinator: DispatcherId): void {
    this.#choice.recordHeard(coordinator);
  }

  /** Places the tasks of all requests at a coordinator that is silent or has lost its connection. */
  coordinatorLost(coordinator: DispatcherId): void {
    this.#choice.recordSilence(coordinator);
    for (const open of this.#requests.values())
      if (open.coordinator === coordinator) this.#giveUp(open);
  }

  #listExcluded(
    { excludedWorkers, request }: RequestedTasks,
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

  #handleGrants(
    coordinator: DispatcherId,
    request: number,
    grants: readonly CapacityGrant[],
  ): void {
    const open = this.#requests.get(request);
    if (open === undefined) {
      this.#returnGrants(coordinator, grants);
      return;
    }
    open.isAnswered = true;
    const { requested } = open;
    const unusable: CapacityGrant[] = [];
    const mayPlace = this.#options.mayPlace();
    const { waitMilliseconds } = this.#choice.findCapacity(coordinator);
    this.#options.accepted(requested, waitMilliseconds);
    for (const one of grants) {
      const tasks = open.tasks.slice(0, one.tasks);
      open.tasks = open.tasks.slice(one.tasks);
      const known = this.#options.findWorker(one.workerId);
      if (!mayPlace || known === undefined || tasks.length === 0) {
        unusable.push(one);
        for (const task of tasks) task.phase = TaskPhase.Waiting;
        continue;
      }
      const { grant } = one;
      this.#options.granted(requested, tasks, known, { coordinator, grant });
    }
    if (open.tasks.length > 0) this.#expectStanding(open);
    else this.#forget(open);
    if (unusable.length === 0) return;
    this.#returnGrants(coordinator, unusable);
    this.#options.returned(requested.active);
  }

  #handleReturn(request: number): void {
    const open = this.#requests.get(request);
    if (open !== undefined) this.#giveUp(open);
  }

  #handleRefusal(request: number, waitMilliseconds: Milliseconds): void {
    const open = this.#requests.get(request);
    if (open === undefined) return;
    this.#forget(open);
    for (const task of open.tasks) task.phase = TaskPhase.Waiting;
    this.#options.refused(open.requested, waitMilliseconds);
  }

  #expectStanding(open: OpenRequest): void {
    open.timeout.cancel();
    open.timeout = this.#options.timers.after(
      standingTimeoutMilliseconds,
      () => {
        this.#checkTimeout(open);
      },
    );
  }

  #checkTimeout(open: OpenRequest): void {
    open.timeout = this.#options.timers.after(backlogMilliseconds, () => {
      const { coordinator, requested, isAnswered } = open;
      const { logger, metrics } = this.#options;
      metrics.count(Counter.CapacityRequestsUnanswered);
      logger.warn('coordinator does not answer', {
        requestId: requested.request.requestId,
        jobId: requested.request.jobId,
        coordinator,
        isAnswered,
      });
      this.#choice.recordSilence(coordinator);
      this.#giveUp(open);
    });
  }

  #giveUp(open: OpenRequest): void {
    this.#withdraw(open);
    for (const task of open.tasks) task.phase = TaskPhase.Waiting;
    this.#options.returned(open.requested.active);
  }

  #withdraw(open: OpenRequest): void {
    this.#forget(open);
    this.#sendWithdrawal(open.coordinator, open.number);
  }

  #sendWithdrawal(coordinator: DispatcherId, request: number): void {
    this.#options.links.sendToCoordinator(coordinator, {
      kind: ToCoordinatorKind.Withdraw,
      requests: [request],
    });
  }

  #returnGrants(
    coordinator: DispatcherId,
    grants: readonly CapacityGrant[],
  ): void {
    if (grants.length === 0) return;
    this.#options.links.sendToCoordinator(coordinator, {
      kind: ToCoordinatorKind.ReturnGrants,
      grants: grants.map(({ grant }) => grant),
    });
  }

  #forget(open: OpenRequest): void {
    open.timeout.cancel();
    this.#requests.delete(open.number);
  }
}
