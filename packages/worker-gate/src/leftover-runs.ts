/**
 * Stops the runs that a worker has although no executor of this process ordered them there: an earlier process of the sidecar
 * left them, or an order to an earlier incarnation of the worker started them.
 */
import type { Logger } from '@cranberryturn/logger';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { Fencing } from './fencing.js';
import {
  nameRun,
  nameTask,
  type RunningRun,
  type WorkerPort,
  type WorkerStatus,
} from './ports/worker.js';

const failurePauseMilliseconds: Milliseconds = 40;
/** Time for the worker to carry out stops before it is asked again. */
const stopPauseMilliseconds: Milliseconds = 20;

/** Dependencies of the leftover runs of one sidecar process. */
export interface LeftoverRunsOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly fencing: Fencing;
}

/** A worker that is asked for its leftover runs. */
export interface AskedWorker {
  readonly port: Pick<WorkerPort, 'stopRun'>;
  /** Undefined before the worker has reported. */
  readonly workerId: string | undefined;
  /** Asks the worker for its runs without extending any of them. Undefined without a reply. */
  readonly readStatus: () => Promise<WorkerStatus | undefined>;
  /** Whether the worker is to be asked no more. */
  readonly isStopped: () => boolean;
  /** The pause after a missing reply doubles up to this one; it is constant by default. */
  readonly maximumPauseMilliseconds?: Milliseconds;
}

/** The leftover runs that one sidecar process finds. */
export class LeftoverRuns {
  readonly #options: LeftoverRunsOptions;
  readonly #startedAt: Milliseconds;
  /** Names of the leftover runs that were listed and have not ended. */
  readonly #found = new Set<string>();
  #hasAnswer = false;

  constructor(options: LeftoverRunsOptions) {
    this.#options = options;
    this.#startedAt = options.timers.now();
  }

  /** Stops all runs that the worker lists, until it lists none. False when it is to be asked no more before. */
  async stopAll(worker: AskedWorker): Promise<boolean> {
    const { timers, fencing } = this.#options;
    const { readStatus, isStopped, maximumPauseMilliseconds = 0 } = worker;
    let pause = failurePauseMilliseconds;
    while (!isStopped()) {
      const fencingToken = fencing.token;
      const status = await readStatus();
      if (isStopped()) return false;
      if (status === undefined) {
        await sleep(timers, pause);
        pause = Math.max(pause, Math.min(pause * 2, maximumPauseMilliseconds));
        continue;
      }
      // The wall clock may have been set back to the start of an earlier process, whose token is the same then.
      if (!this.#hasAnswer) fencing.advance();
      this.#hasAnswer = true;
      if (status.running.length > 0 || status.isPartial === true) {
        await this.#stopListed(worker, status.running);
        await sleep(timers, stopPauseMilliseconds);
        continue;
      }
      // An order of an earlier incarnation or process that arrives after this reply has to be refused.
      if (fencingToken === fencing.token) {
        this.#logEnd(worker);
        return true;
      }
    }
    return false;
  }

  async #stopListed(
    { port, workerId }: AskedWorker,
    runs: readonly RunningRun[],
  ): Promise<void> {
    const replies = await Promise.all(
      runs.map(({ jobId, taskId, run }) => {
        const { token: fencingToken } = this.#options.fencing;
        return port.stopRun({ jobId, taskId, run, fencingToken });
      }),
    );
    const accepted = replies.filter(
      reply => reply.isOk() && reply.value.accepted,
    ).length;
    const isKnown = runs.every(run => this.#found.has(nameRun(run)));
    if (isKnown && accepted === runs.length) return;
    for (const run of runs) this.#found.add(nameRun(run));
    this.#options.logger.warn('leftover runs found; stop orders sent', {
      worker: workerId,
      runs: runs.map(({ jobId, taskId, run }) => ({
        task: nameTask(jobId, taskId),
        run,
      })),
      acceptedStops: accepted,
      sinceStartMilliseconds: this.#measureSinceStart(),
    });
  }

  #logEnd({ workerId }: AskedWorker): void {
    this.#options.logger.info('worker lists no leftover runs', {
      worker: workerId,
      endedRuns: [...this.#found],
      sinceStartMilliseconds: this.#measureSinceStart(),
    });
    this.#found.clear();
  }

  #measureSinceStart(): Milliseconds {
    return Math.round(this.#options.timers.now() - this.#startedAt);
  }
}
