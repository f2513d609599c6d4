/**
 * Requests capacity for the tasks of this dispatcher from the coordinators of the workers. A coordinator that does not
 * answer is not waited for: its tasks are placed by load reports, as without it.
 */
import { Counter } from '@cranberryturn/metrics';
import type { TimerSubscription } from '@cranberryturn/timers';
import type {
  CapacityGrant,
  DispatcherId,
  Milliseconds,
} from '@cranberryturn/types';
import {
  FromCoordinatorKind,
  type FromCoordinatorMessage,
  ToCoordinatorKind,
} from '@cranberryturn/wire';

import { type ActiveJob, type ActiveTask, TaskPhase } from '../active-job.js';
import type { TransientJob } from '../transient-job.js';
import type {
  CapacityClientOptions,
  RequestedTasks,
} from './capacity-client-options.js';
import { CoordinatorChoice } from './coordinator-choice.js';

/** A coordinator answers within a few milliseconds, or some ten after an outage; the shortest jobs bear this delay once. */
const answerTimeoutMilliseconds: Milliseconds = 60;
/** While requests wait, their coordinator sends a message every 100 ms. */
const standingTimeoutMilliseconds: Milliseconds = 300;
/** Messages that arrived while this process was busy are handled before a timeout counts. */
const backlogMilliseconds: Milliseconds = 3;

/** Bounds the messages for a request where many coordinate workers of a service. */
const maximumTries = 3;

interface OpenRequest {
  readonly number: number;
  readonly coordinator: DispatcherId;
  /** The coordinators that the tasks were requested from, this one included. */
  readonly tried: ReadonlySet<DispatcherId>;
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
  request(
    requested: RequestedTasks,
    tried: ReadonlySet<DispatcherId> = new Set(),
  ): boolean {
    const { service } = requested.request;
    const coordinator = this.#choice.choose(service, requested.step, tried);
    if (coordinator === undefined) return false;
    const { links, timers } = this.#options;
    this.#lastRequest += 1;
    const number = this.#lastRequest;
    const open: OpenRequest = {
      number,
      coordinator,
      tried: new Set([...tried, coordinator]),
      requested,
      tasks: requested.tasks,
      isAnswered: false,
      timeout: timers.after(answerTimeoutMilliseconds, () => {
        this.#checkTimeout(open);
      }),
    };
    this.#requests.set(number, open);
    for (const task of requested.tasks) task.phase = TaskPhase.Requested;
    links.sendRequest(coordinator, {
      kind: ToCoordinatorKind.Request,
      request: {
        ...requested.request,
        request: number,
        tasks: requested.tasks.length,
        excludedWorkers: this.#choice.listExcluded(requested, coordinator),
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
    this.#choice.recordCapacity(coordinator, message.capacity);
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
      case FromCoordinatorKind.Expired:
        this.#handleExpiry(message.request);
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

  /** Places the tasks of all requests at a coordinator that is silent or has lost its connection. */
  coordinatorLost(coordinator: DispatcherId): void {
    this.#choice.forget(coordinator);
    for (const open of this.#requests.values())
      if (open.coordinator === coordinator) this.#giveUp(open);
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
    const isFirstAnswer = !open.isAnswered;
    open.isAnswered = true;
    this.#choice.recordAnswer(coordinator);
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
    if (open.tasks.length === 0) this.#forget(open);
    else if (!isFirstAnswer || !this.#move(open)) this.#expectStanding(open);
    if (unusable.length === 0) return;
    this.#returnGrants(coordinator, unusable);
    this.#options.returned(requested.active);
  }

  /** Moves tasks that wait to a coordinator which seems to have capacity for them. False where none does. */
  #move(open: OpenRequest): boolean {
    const { coordinator, tried, requested, tasks } = open;
    if (tried.size >= maximumTries) return false;
    const other = this.#choice.chooseBetter(requested, coordinator, tried);
    if (other === undefined) return false;
    this.#withdraw(open);
    const request = {
      ...requested.request,
      maximumWaitMilliseconds: undefined,
    };
    return this.request({ ...requested, tasks, request }, tried);
  }

  #handleReturn(request: number): void {
    const open = this.#requests.get(request);
    if (open !== undefined) this.#giveUp(open);
  }

  #handleExpiry(request: number): void {
    const open = this.#requests.get(request);
    if (open === undefined) return;
    this.#forget(open);
    for (const task of open.tasks) task.phase = TaskPhase.Waiting;
    const { active } = open.requested;
    if (active.mayHaveStarted) this.#options.returned(active);
    else this.#options.expired(active);
  }

  #handleRefusal(request: number, waitMilliseconds: Milliseconds): void {
    const open = this.#requests.get(request);
    if (open === undefined) return;
    this.#forget(open);
    this.#choice.recordAnswer(open.coordinator);
    const mayTry = open.tried.size < maximumTries;
    if (mayTry && this.request(open.requested, open.tried)) return;
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
    this.#options.links.sendRequest(coordinator, {
      kind: ToCoordinatorKind.Withdraw,
      requests: [request],
    });
  }

  #returnGrants(
    coordinator: DispatcherId,
    grants: readonly CapacityGrant[],
  ): void {
    if (grants.length === 0) return;
    this.#options.links.sendRequest(coordinator, {
      kind: ToCoordinatorKind.ReturnGrants,
      grants: grants.map(({ grant }) => grant),
    });
  }

  #forget(open: OpenRequest): void {
    open.timeout.cancel();
    this.#requests.delete(open.number);
  }
}
