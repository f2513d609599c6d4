/**
 * Knows with which incarnation of the worker the sidecar deals. A message about the worker proposes an incarnation; only a
 * reply of the worker establishes it, and only then the earlier one is over.
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
import type { IncarnationEvents } from './worker-executor-options.js';
import { isSameService, type WorkerReport } from './worker-report.js';

/** Reported incarnations that have not answered yet; another writer must not fill the memory. */
const maximumCandidates = 4;

/** Dependencies of the incarnations of one worker. */
export interface WorkerIncarnationsOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly fencing: Fencing;
  readonly crashes: CrashReports;
  /** Opens the executor of a reported incarnation. It asks the worker at once, and is not ready before the worker has answered. */
  readonly openExecutor: (
    report: WorkerReport,
    events: IncarnationEvents,
  ) => WorkerExecutor;
  /** The worker that is offered has changed. */
  readonly changed: () => void;
}

/** One incarnation of the worker. */
interface KnownIncarnation {
  readonly executor: WorkerExecutor;
  /** The newest report of this incarnation. */
  report: WorkerReport;
}

/** An incarnation that is over. Its runs may not have ended, as their orders may have reached the next one. */
interface FormerIncarnation {
  readonly executor: WorkerExecutor;
  readonly worker: WorkerRun;
  /** Fencing token that no order to this incarnation exceeds. */
  readonly fencingToken: number;
  readonly hasLeft: boolean;
}

/** The incarnations of one worker: the current one, those that were reported and have not answered, and those that are over. */
export class WorkerIncarnations {
  readonly #options: WorkerIncarnationsOptions;
  readonly #candidates = new Map<Incarnation, KnownIncarnation>();
  #current: KnownIncarnation | undefined;
  #former: readonly FormerIncarnation[] = [];
  /** The last report before the worker left; delivered again, it must not bring the worker back. */
  #reportBeforeLeave: WorkerReport | undefined;
  #isStopping = false;

  constructor(options: WorkerIncarnationsOptions) {
    this.#options = options;
  }

  /** Executor of the incarnation that answers; undefined before a worker has answered. */
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
   * name the incarnation, so active runs go on until the worker tells their ends, or no longer answers.
   */
  leave(workerId: string): void {
    const current = this.#current;
    if (current?.executor.worker.workerId !== workerId) return;
    this.#reportBeforeLeave = current.report;
    current.executor.leave();
  }

  /** Opens no further incarnation. */
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

  #update(current: KnownIncarnation, report: WorkerReport): boolean {
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
    // Orders to an earlier incarnation that arrive late are refused once this one has received an order.
    fencing.advance();
    const executor = this.#options.openExecutor(report, {
      answered: () => {
        this.#establish(opened);
      },
      otherIncarnationAnswered: () => {
        this.#refute(opened);
      },
      statusReceived: (status, fencingToken) => {
        this.#settle(status, fencingToken);
      },
    });
    const opened: KnownIncarnation = { executor, report };
    this.#candidates.set(report.worker.incarnation, opened);
    const [oldest] = this.#candidates.keys();
    if (this.#candidates.size <= maximumCandidates || oldest === undefined)
      return;
    this.#candidates.get(oldest)?.executor.close();
    this.#candidates.delete(oldest);
  }

  /** A reported incarnation has answered, so each earlier one at its address is over. */
  #establish(known: KnownIncarnation): void {
    const { incarnation } = known.executor.worker;
    if (this.#candidates.get(incarnation) !== known) return;
    this.#candidates.delete(incarnation);
    this.#endCurrent();
    // Orders to the earlier incarnation that are still on their way start nothing once this one has received a later token.
    if (this.#former.length > 0) this.#options.fencing.advance();
    this.#options.logger.info('worker found', {
      ...known.executor.worker,
    });
    this.#current = known;
    known.executor.applyReport(known.report);
  }

  /** Another incarnation answers than the one that was asked. */
  #refute(known: KnownIncarnation): void {
    const { workerId, incarnation } = known.executor.worker;
    if (this.#candidates.get(incarnation) === known) {
      this.#options.logger.warn('reported worker is not the one that answers', {
        worker: workerId,
        incarnation,
      });
      this.#candidates.delete(incarnation);
      known.executor.close();
      return;
    }
    if (this.#current === known) this.#endCurrent();
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
    logger.warn('incarnation of the worker is over', {
      worker: worker.workerId,
      incarnation: worker.incarnation,
      unsettledRuns: runs.length,
    });
    const former: FormerIncarnation = {
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

  /** Ends the runs of earlier incarnations that the worker does not have, by its reply to an order with the fencing token. */
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
        .filter(({ task, run }) => !running.has(`${task}.${String(run)}`));
      this.#recordCrash(former, lost);
      for (const run of lost)
        executor.endRun(run, { kind: EvidenceKind.LaterIncarnation });
    }
    this.#former = this.#former.filter(
      ({ executor, fencingToken: last }) =>
        !executor.isIdle || fencingToken <= last,
    );
  }

  #recordCrash(
    { worker, hasLeft, executor }: FormerIncarnation,
    lost: ReturnType<WorkerExecutor['listActiveRuns']>,
  ): void {
    const { crashes } = this.#options;
    if (lost.length > 0) executor.options.runsLost(lost);
    if (!hasLeft) crashes.recordReplacement(worker);
  }

  /** Nobody waits for the runs any more, and they were not renewed since. */
  #giveUp(former: FormerIncarnation): void {
    for (const run of former.executor.listActiveRuns())
      former.executor.endRun(run, { kind: EvidenceKind.DeadlinePassed });
    this.#former = this.#former.filter(one => one !== former);
  }
}

/** Whether a report is `known` delivered again, or an earlier one of the same incarnation. */
function isRepeated(
  report: WorkerReport,
  known: WorkerReport | undefined,
): boolean {
  return (
    report.worker.incarnation === known?.worker.incarnation &&
    report.sequence <= known.sequence
  );
}

/** Replaces the report of an incarnation, unless it is older than the one that is known. */
function replaceReport(known: KnownIncarnation, report: WorkerReport): boolean {
  if (report.sequence < known.report.sequence) return false;
  known.report = report;
  return true;
}
