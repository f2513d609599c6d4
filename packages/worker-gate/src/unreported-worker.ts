/**
 * Asks the worker for leftover runs before it has reported to this process. Nothing is started, extended or acknowledged by
 * it, and no answer makes the worker known: that takes a report.
 */
import { rethrowLater } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { Fencing } from './fencing.js';
import type { LeftoverRuns } from './leftover-runs.js';
import {
  type WorkerPort,
  WorkerRefusal,
  type WorkerStatus,
} from './ports/worker.js';

/** A worker that is down for long is asked rarely; its first report makes it known. */
const maximumPauseMilliseconds: Milliseconds = 1_280;

/** The token doubles its distance with each refusal, so that these pass a wall clock that was hours ahead. */
const maximumRefusals = 12;

/** Port to whichever incarnation of the worker answers. */
export type UnreportedWorkerPort = Pick<
  WorkerPort,
  'renewLease' | 'stopRun' | 'close'
>;

/** Dependencies of the questions to one worker. */
export interface UnreportedWorkerOptions {
  /** Undefined where the address of the worker is not known before it reports. */
  readonly openPort: (() => UnreportedWorkerPort) | undefined;
  readonly leftovers: LeftoverRuns;
  readonly fencing: Fencing;
}

/** The worker of one sidecar process until an incarnation of it is known. */
export class UnreportedWorker {
  readonly #options: UnreportedWorkerOptions;
  #isKnown = false;

  constructor(options: UnreportedWorkerOptions) {
    this.#options = options;
  }

  /** Stops the runs that the worker lists until it lists none, or is known. */
  stopLeftovers(): void {
    const { openPort } = this.#options;
    if (openPort === undefined || this.#isKnown) return;
    this.#stopAll(openPort()).catch(rethrowLater);
  }

  /** Asks no more: an incarnation of the worker is known, whose executor asks, or this process ends. */
  close(): void {
    this.#isKnown = true;
  }

  async #stopAll(port: UnreportedWorkerPort): Promise<void> {
    try {
      await this.#options.leftovers.stopAll({
        port,
        workerId: undefined,
        readStatus: () => this.#readStatus(port),
        isStopped: () => this.#isKnown,
        maximumPauseMilliseconds,
      });
    } finally {
      port.close();
    }
  }

  async #readStatus(
    port: UnreportedWorkerPort,
  ): Promise<WorkerStatus | undefined> {
    const { fencing } = this.#options;
    for (let refusals = 0; refusals < maximumRefusals; refusals += 1) {
      const fencingToken = fencing.token;
      const reply = await port.renewLease({
        fencingToken,
        // The sequence numbers of ends are those of one incarnation, and this order names none.
        acknowledgedSequence: 0,
        waitMilliseconds: 0,
        deadline: undefined,
      });
      if (reply.isErr()) return undefined;
      if (reply.value.accepted) return reply.value.status;
      if (reply.value.refusal !== WorkerRefusal.Fenced) return undefined;
      fencing.raiseAbove(fencingToken);
    }
    return undefined;
  }
}
