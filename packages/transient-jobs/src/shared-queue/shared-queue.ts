/** The part of one dispatcher in the shared queues: as a coordinator of workers, and as a client of coordinators. */
import type { TimerService } from '@cranberryturn/timers';
import type { DispatcherId } from '@cranberryturn/types';
import {
  type FromCoordinatorMessage,
  type ToCoordinatorMessage,
  ToCoordinatorKind,
} from '@cranberryturn/wire';

import type { ActiveJob } from '../active-job.js';
import type { DispatcherLinks } from '../dispatcher-links.js';
import type { KnownWorker } from '../known-worker.js';
import type { TransientJobsOptions } from '../transient-jobs-options.js';
import type { WorkerDirectory } from '../worker-directory.js';
import { CapacityClient } from './capacity-client.js';
import type {
  CapacityClientOptions,
  RequestedTasks,
} from './capacity-client-options.js';
import { CapacityCoordinator } from './capacity-coordinator.js';

/** Dependencies and event handlers of the shared queues. */
export interface SharedQueueOptions
  extends
    Omit<TransientJobsOptions, 'timers'>,
    Pick<
      CapacityClientOptions,
      'granted' | 'accepted' | 'refused' | 'expired' | 'returned' | 'mayPlace'
    > {
  readonly timers: TimerService;
  readonly workers: Pick<WorkerDirectory, 'listWorkers' | 'findWorker'>;
  readonly links: DispatcherLinks;
}

/** The shared queues, as one dispatcher takes part in them. */
export class SharedQueue {
  readonly #dispatcherId: DispatcherId;
  readonly #links: DispatcherLinks;
  readonly #coordinator: CapacityCoordinator;
  readonly #client: CapacityClient;

  constructor(options: SharedQueueOptions) {
    const { dispatcherId, workers, links } = options;
    this.#dispatcherId = dispatcherId;
    this.#links = links;
    this.#coordinator = new CapacityCoordinator({
      ...options,
      listWorkers: service =>
        [...workers.listWorkers(service)].filter(known =>
          this.#coordinates(known),
        ),
      send: (dispatcher, message) => {
        links.sendAnswer(dispatcher, message);
      },
    });
    this.#client = new CapacityClient({
      ...options,
      listWorkers: service => workers.listWorkers(service),
      findWorker: workerId => workers.findWorker(workerId),
    });
  }

  /** Requests capacity. False without a coordinator that can grant it. */
  request(requested: RequestedTasks): boolean {
    return this.#client.request(requested);
  }

  /** Whether some coordinator can grant capacity for the job. */
  isAvailable(active: ActiveJob): boolean {
    return this.#client.isAvailable(active.job);
  }

  /** Withdraws the requests of a job that has ended. */
  withdraw(active: ActiveJob): void {
    this.#client.withdraw(active);
  }

  /** Uses capacity that a worker has reported free. */
  workerReported(known: KnownWorker): void {
    const { coordinator } = known.coordination;
    if (this.#coordinates(known)) this.#coordinator.workerReported(known);
    else if (coordinator !== undefined) this.#links.prepare(coordinator);
  }

  close(): void {
    this.#coordinator.close();
  }

  /** Handles a message of a dispatcher to the coordinator at this one. */
  handleRequest(dispatcher: DispatcherId, message: ToCoordinatorMessage): void {
    switch (message.kind) {
      case ToCoordinatorKind.Request:
        this.#coordinator.request(dispatcher, message.request);
        return;
      case ToCoordinatorKind.Withdraw:
        this.#coordinator.withdraw(dispatcher, message.requests);
        return;
      case ToCoordinatorKind.ReturnGrants:
        this.#coordinator.returnGrants(message.grants);
        return;
    }
  }

  /** Drops the requests of a dispatcher whose session has ended. */
  dropRequester(dispatcher: DispatcherId): void {
    this.#coordinator.dropDispatcher(dispatcher);
  }

  handleAnswer(
    coordinator: DispatcherId,
    message: FromCoordinatorMessage,
  ): void {
    this.#client.handle(coordinator, message);
  }

  /** Places the tasks of the requests at a coordinator that cannot be reached. */
  coordinatorLost(coordinator: DispatcherId): void {
    this.#client.coordinatorLost(coordinator);
  }

  #coordinates({ coordination }: KnownWorker): boolean {
    return coordination.coordinator === this.#dispatcherId;
  }
}
