/** Exchanges messages with the other dispatchers: about capacity, and about cancelled jobs. */
import type { DispatcherId, JobId } from '@cranberryturn/types';
import {
  type DispatcherAnswer,
  type DispatcherRequest,
  FromCoordinatorKind,
  JobCancelKind,
  ToCoordinatorKind,
} from '@cranberryturn/wire';

import { DispatcherLinks } from './dispatcher-links.js';
import { JobCancels } from './job-cancels.js';
import type { SharedQueue } from './shared-queue/shared-queue.js';
import type { TransientJobsOptions } from './transient-jobs-options.js';

/** Dependencies of the exchange. */
export interface PeerDispatchersOptions extends Omit<
  TransientJobsOptions,
  'sharedQueue'
> {
  /** Undefined where each dispatcher places its tasks by load reports. */
  readonly findSharedQueue: () => SharedQueue | undefined;
  /** Ends a cancelled job; false when it is not in progress here. */
  readonly endJob: (jobId: JobId) => boolean;
  /** Whether a job has ended here a short time ago. */
  readonly hasEndedRecently: (jobId: JobId) => boolean;
}

/** The other dispatchers, as one dispatcher sees them. */
export class PeerDispatchers {
  readonly links: DispatcherLinks;
  readonly cancels: JobCancels;
  readonly #findSharedQueue: () => SharedQueue | undefined;

  constructor(options: PeerDispatchersOptions) {
    this.#findSharedQueue = options.findSharedQueue;
    this.links = new DispatcherLinks({
      ...options,
      network: options.network,
      requested: (dispatcher, message) => {
        this.#handleRequest(dispatcher, message);
      },
      requesterLost: dispatcher => {
        this.#findSharedQueue()?.dropRequester(dispatcher);
      },
      answered: (dispatcher, message) => {
        this.#handleAnswer(dispatcher, message);
      },
      connected: dispatcher => {
        this.cancels.dispatcherConnected(dispatcher);
      },
      disconnected: dispatcher => {
        this.#findSharedQueue()?.coordinatorLost(dispatcher);
      },
    });
    this.cancels = new JobCancels({ ...options, links: this.links });
  }

  #handleRequest(dispatcher: DispatcherId, message: DispatcherRequest): void {
    switch (message.kind) {
      case JobCancelKind.Request:
        this.cancels.handleRequest(dispatcher, message);
        return;
      case ToCoordinatorKind.Request:
      case ToCoordinatorKind.Withdraw:
      case ToCoordinatorKind.ReturnGrants:
        this.#findSharedQueue()?.handleRequest(dispatcher, message);
        return;
    }
  }

  #handleAnswer(dispatcher: DispatcherId, message: DispatcherAnswer): void {
    switch (message.kind) {
      case JobCancelKind.Answer:
        this.cancels.handleAnswer(dispatcher, message);
        return;
      case FromCoordinatorKind.Grants:
      case FromCoordinatorKind.Refusal:
      case FromCoordinatorKind.Returned:
      case FromCoordinatorKind.Expired:
      case FromCoordinatorKind.Standing:
        this.#findSharedQueue()?.handleAnswer(dispatcher, message);
        return;
    }
  }
}
