/**
 * Knows with which life of the worker the sidecar deals. What a message says of the worker proposes a life; only a reply of
 * the worker itself establishes it, and only then the earlier life is over.
 */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  Incarnation,
  WorkerRun,
} from '@cranberryturn/types';

import type { CrashReports } from './crash-reports.js';
import type { Fencing } from './fencing.js';
import { nameRun, type WorkerStatus } from './ports/worker.js';
import { EvidenceKind } from './run-evidence.js';
import type { WorkerExecutor } from './worker-executor.js';
import type { LifeEvents } from './worker-executor-options.js';
import { isSameService, type WorkerReport } from './worker-report.js';

/** Reported lives that have not answered yet; another writer must not fill the memory. */
const maximumCandidates = 4;

/** Dependencies of the lives of one worker. */
export interface WorkerLivesOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly fencing: Fencing;
  readonly crashes: CrashReports;
  /** Opens the executor of a reported life. It asks the worker at once, and is not ready before the worker has answered. */
  readonly openExecutor: (
    report: WorkerReport,
    events: LifeEvents,
  ) => WorkerExecutor;
  /** The worker that is offered has changed. */
  readonly changed: () => void;
}

/** One life of the worker. */
interface Life {
  readonly executor: WorkerExecutor;
  /** The newest report of this life. */
  report: WorkerReport;
}

/** A life that is over, some of whose runs are not known to have ended: an order may have reached the next life. */
interface FormerLife {
  readonly executor: WorkerExecutor;
  readonly worker: WorkerRun;
  /** Fencing token that no order to this life exceeds. */
  readonly fencingToken: number;
  readonly hasLeft: boolean;
}

/** The lives of one worker: the current one, those that were reported and have not answered, and those that are over. */
export class WorkerLives {
  readonly #options: WorkerLivesOptions;
  readonly #candidates = new Map<Incarnation, Life>();
  #current: Life | undefined;
  #former: readonly FormerLife[] = [];
  /** The last report before the worker left; delivered again, it must not bring the worker back. */
  #reportBeforeLeave: WorkerReport | undefined;
  #isStopping = false;

  constructor(options: WorkerLivesOptions) {
    this.#options = options;
  }

  /** Executor of the life that answers; undefined before a worker has answered. */
  get executor(): WorkerExecutor | undefined {
    return this.#current?.executor;
  }

  /** The worker to offer to dispatchers: it answers, and has not said that it leaves for good. */
  get offered(): WorkerRun | undefined {
    const { executor } = this;
    return executor?.lease.isReady === true && !executor.hasLeft
      ? executor.worker
      : undefined;
  }

  get isIdle(): boolean {
    return this.#listExecutors().every(({ isIdle }) => isIdle);
  }

  hasWorkFor(dispatcher: DispatcherId): boolean {
    return this.#listExecutors().some(one => one.hasWorkFor(dispatcher));
  }

  /** Applies a report. False when it is out of date, or cannot be of the worker. */
  receive(report: WorkerReport): boolean {
    const { incarnation } = report.worker;
    const current = this.#current;
    if (current?.executor.worker.incarnation === incarnation)
      return this.#update(current, report);
    const candidate = this.#candidates.get(incarnation);
    if (candidate !== undefined) return replaceReport(candidate, report);
    if (isRepeated(report, this.#reportBeforeLeave)) return false;
    const isEarlier =
      current !== undefined && report.bornAt < current.report.bornAt;
    if (isEarlier && current.executor.isAnswering) return false;
    if (!this.#isStopping) this.#openCandidate(report);
    return true;
  }

  /**
   * Offers the worker no more, as somebody says that it has left; its next report offers it again. The message does not
   * name the life, so active runs go on until the worker tells their ends, or no longer answers.
   */
  leave(workerId: string): void {
    const current = this.#current;
    if (current?.executor.worker.workerId !== workerId) return;
    this.#reportBeforeLeave = current.report;
    current.executor.leave();
  }

  /** Opens no further life. */
  beginStop(): void {
    this.#isStopping = true;
  }

  /** Ends all activity as a crash of this process would. */
  kill(): void {
    this.#isStopping = true;
    for (const { executor } of this.#candidates.values()) executor.kill();
    this.#current?.executor.kill();
  }

  #listExecutors(): readonly WorkerExecutor[] {
    const former = this.#former.map(({ executor }) => executor);
    return this.executor === undefined ? former : [this.executor, ...former];
  }

  #update(current: Life, report: WorkerReport): boolean {
    const { executor } = current;
    if (!isSameService(report, current.report)) return false;
    if (executor.hasLeft && isRepeated(report, this.#reportBeforeLeave))
      return false;
    if (!replaceReport(current, report)) return false;
    executor.applyReport(report);
    return true;
  }

  #openCandidate(report: WorkerReport): void {
    const { fencing, logger } = this.#options;
    logger.info('worker reported; it is asked', {
      ...report.worker,
      bornAt: report.bornAt,
      known: this.executor?.worker.incarnation,
    });
    // Orders to an earlier life that arrive late are refused once this one has received an order.
    fencing.advance();
    const executor = this.#options.openExecutor(report, {
      answered: () => {
        this.#establish(life);
      },
      otherLifeAnswered: () => {
        this.#refute(life);
      },
      statusReceived: (status, fencingToken) => {
        this.#settle(status, fencingToken);
      },
    });
    const life: Life = { executor, report };
    this.#candidates.set(report.worker.incarnation, life);
    const [oldest] = this.#candidates.keys();
    if (this.#candidates.size <= maximumCandidates || oldest === undefined)
      return;
    this.#candidates.get(oldest)?.executor.close();
    this.#candidates.delete(oldest);
  }

  /** A reported life has answered, so each earlier one at its address is over. */
  #establish(life: Life): void {
    const { incarnation } = life.executor.worker;
    if (this.#candidates.get(incarnation) !== life) return;
    this.#candidates.delete(incarnation);
    this.#endCurrent();
    // Orders to the earlier life that are still on their way start nothing once this one has received a later token.
    if (this.#former.length > 0) this.#options.fencing.advance();
    this.#options.logger.info('worker found', { ...life.executor.worker });
    this.#current = life;
    life.executor.applyReport(life.report);
  }

  /** Another life answers than the one that was asked. */
  #refute(life: Life): void {
    const { workerId, incarnation } = life.executor.worker;
    if (this.#candidates.get(incarnation) === life) {
      this.#options.logger.warn('reported worker is not the one that answers', {
        worker: workerId,
        incarnation,
      });
      this.#candidates.delete(incarnation);
      life.executor.close();
      return;
    }
    if (this.#current !== life) return;
    this.#endCurrent();
    this.#options.changed();
  }

  #endCurrent(): void {
    const { logger, fencing, timers, changed } = this.#options;
    const current = this.#current;
    if (current === undefined) return;
    this.#current = undefined;
    const { executor, report } = current;
    const { worker } = executor;
    executor.close();
    const runs = executor.listActiveRuns();
    logger.warn('life of the worker is over', {
      worker: worker.workerId,
      incarnation: worker.incarnation,
      unsettledRuns: runs.length,
    });
    const former: FormerLife = {
      executor,
      worker,
      fencingToken: fencing.token,
      hasLeft: report.draining || executor.hasLeft,
    };
    this.#former = [...this.#former, former];
    const lastDeadline = Math.max(...runs.map(({ deadlineAt }) => deadlineAt));
    if (runs.length > 0)
      timers.after(lastDeadline - timers.now(), () => {
        this.#giveUp(former);
      });
    changed();
  }

  /** Ends the runs of earlier lives that the worker does not have, by its reply to an order with the fencing token. */
  #settle(status: WorkerStatus, fencingToken: number): void {
    if (this.#former.length === 0) return;
    const running = new Set(status.running.map(nameRun));
    for (const former of this.#former) {
      const { executor } = former;
      for (const ended of status.ended) executor.handleRunEnd(ended);
      if (status.isPartial === true || fencingToken <= former.fencingToken)
        continue;
      const lost = executor
        .listActiveRuns()
        .filter(run => !running.has(`${run.task}.${String(run.run)}`));
      this.#recordCrash(former, lost);
      for (const run of lost)
        executor.endRun(run, { kind: EvidenceKind.LaterLife });
    }
    this.#former = this.#former.filter(
      ({ executor, fencingToken: last }) =>
        !executor.isIdle || fencingToken <= last,
    );
  }

  #recordCrash(
    { worker, hasLeft, executor }: FormerLife,
    lost: ReturnType<WorkerExecutor['listActiveRuns']>,
  ): void {
    const { crashes } = this.#options;
    if (lost.length > 0) executor.options.runsLost(lost);
    if (!hasLeft) crashes.recordReplacement(worker);
  }

  /** Nobody waits for the runs any more, and they were not renewed since. */
  #giveUp(former: FormerLife): void {
    for (const run of former.executor.listActiveRuns())
      former.executor.endRun(run, { kind: EvidenceKind.DeadlinePassed });
    this.#former = this.#former.filter(one => one !== former);
  }
}

/** Whether a report is `known` delivered again, or an earlier one of the same life. */
function isRepeated(
  report: WorkerReport,
  known: WorkerReport | undefined,
): boolean {
  return (
    report.worker.incarnation === known?.worker.incarnation &&
    report.sequence <= known.sequence
  );
}

/** Replaces the report of a life, unless it is older than the one that is known. */
function replaceReport(life: Life, report: WorkerReport): boolean {
  if (report.sequence < life.report.sequence) return false;
  life.report = report;
  return true;
}
