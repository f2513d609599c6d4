/** Connects all dispatchers with one worker: keeps the sessions, and an executor for the current incarnation. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { SessionTimes } from '@cranberryturn/sessions';
import { sleep, type TimerService } from '@cranberryturn/timers';
import {
  type DispatcherId,
  type Milliseconds,
  type NetworkAddress,
  type RunEnd,
  RunEndReason,
  RunOutcome,
  type WorkerRun,
} from '@cranberryturn/types';
import {
  FromWorkerKind,
  type Network,
  type ToWorkerMessage,
  ToWorkerKind,
} from '@cranberryturn/wire';

import type { RunSelection } from './active-run.js';
import { chooseRunCounter } from './choose-run-counter.js';
import { DispatcherLeases } from './dispatcher-leases.js';
import type { DispatcherSession } from './dispatcher-session.js';
import { DispatcherReports } from './dispatcher-reports.js';
import { DispatcherSessions } from './dispatcher-sessions.js';
import { EvacuationGuard } from './evacuation-guard.js';
import { Fencing } from './fencing.js';
import type { WorkerPort } from './ports/worker.js';
import { SessionPhase } from './session-phase.js';
import { WorkerExecutor } from './worker-executor.js';
import {
  isOlderReport,
  isRepeatedReport,
  type WorkerReport,
} from './worker-report.js';

const stopPollMilliseconds: Milliseconds = 20;

/** Options of a worker gate. */
export interface WorkerGateOptions {
  /** Name of this sidecar. */
  readonly name: string;
  readonly network: Network;
  /** Dispatchers to dial first; they send the list of all dispatchers, among which the sidecar chooses. */
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Longest lease that the worker grants. */
  readonly leaseMilliseconds: Milliseconds;
  /** Whether load reports name the work started by priority; dispatchers use it where admission under scarcity is enabled. */
  readonly reportsStartedWork?: boolean | undefined;
  /** Whether evacuations are enabled: no run starts before a dispatcher has sent their state. Off by default. */
  readonly evacuations?: boolean | undefined;
  /** Opens a port to one incarnation of the worker. `bornAt` is its start on the clock of the worker. */
  readonly openWorker: (worker: WorkerRun, bornAt: Milliseconds) => WorkerPort;
}

/** A running gate. */
export interface WorkerGate {
  /** Applies a report of the worker. False when a later report is known, also of a later incarnation. */
  workerReported(report: WorkerReport): boolean;
  /** Ends the current incarnation, as the worker has announced its departure. */
  workerLeft(workerId: string): void;
  /** Replaces the seeds after a change of the settings. */
  changeSeeds(dispatchers: readonly NetworkAddress[]): void;
  /** Executor of the current incarnation of the worker; undefined when there is none. */
  getExecutor(): WorkerExecutor | undefined;
  /** Connected sessions with dispatchers. */
  listSessions(): readonly DispatcherSession[];
  /** Planned stop: refuses new runs, and resolves when the active runs have ended, at the latest after the grace time. */
  stop(graceMilliseconds: Milliseconds): Promise<void>;
  /** Closes everything at once as a crash would, without stopping the runs at the worker. */
  kill(): void;
}

/** Starts the gate of one worker. */
export function startWorkerGate(options: WorkerGateOptions): WorkerGate {
  const { timers, logger, metrics } = options;
  const fencing = new Fencing(timers);
  const leases = new DispatcherLeases();
  let executor: WorkerExecutor | undefined;
  let latestReport: WorkerReport | undefined;
  /** The last report before the worker left; delivered again, it must not bring the worker back. */
  let reportBeforeLeave: WorkerReport | undefined;
  let isStopping = false;
  const reports = new DispatcherReports({
    timers,
    sessions: () => sessions,
    executor: () => executor,
    evacuationVersion: () => evacuations.version,
  });
  const evacuations = new EvacuationGuard({
    isEnabled: options.evacuations === true,
    timers,
    logger,
    countConnectedDispatchers: () => sessions.listConnected().length,
    changed: () => {
      logger.info('state of evacuations applied', {
        evacuationVersion: evacuations.version,
        worker: executor?.worker.workerId,
        dataCentre: executor?.worker.dataCentre,
        isEvacuated: executor?.load.evacuated === true,
        activeRuns: executor?.listActiveRuns().length,
      });
      // Returns the queued runs in an evacuation.
      executor?.startWaitingRuns();
      reports.reportToAll();
    },
  });

  const runEnded = (dispatcher: DispatcherId, end: RunEnd): void => {
    metrics.count(chooseRunCounter(end.outcome));
    const isEvacuated = end.reason === RunEndReason.Evacuated;
    if (isEvacuated) metrics.count(Counter.RunsReturnedEvacuated);
    logger.info('run ended', {
      dispatcher,
      worker: executor?.worker.workerId,
      ...end,
      ...(isEvacuated ? { evacuationVersion: evacuations.version } : {}),
    });
    const session = sessions.findSession(dispatcher);
    if (session !== undefined) reports.reportEnd(session, end);
  };

  const handleMessage = (
    session: DispatcherSession,
    message: ToWorkerMessage,
  ): void => {
    leases.renew(session.dispatcherId, message.echo, timers.now());
    switch (message.kind) {
      case ToWorkerKind.PlaceRuns:
        acceptOrder(session, message);
        return;
      case ToWorkerKind.StopRuns:
        executor?.stopRuns(
          RunEndReason.Cancelled,
          selectRuns(session, message),
        );
        return;
      case ToWorkerKind.ReturnRuns:
        executor?.returnWaitingRuns(selectRuns(session, message));
        return;
      case ToWorkerKind.Heartbeat:
        return;
      case ToWorkerKind.KnownDispatchers:
        sessions.updateDispatchers(message);
        return;
      case ToWorkerKind.Evacuations:
        evacuations.receive(message, session.dispatcherId);
        return;
    }
  };

  const acceptOrder = (
    session: DispatcherSession,
    { order }: Extract<ToWorkerMessage, { kind: ToWorkerKind.PlaceRuns }>,
  ): void => {
    session.orders += 1;
    logger.info('order received', {
      requestId: order.requestId,
      jobId: order.jobId,
      tasks: order.tasks,
      dispatcher: session.dispatcherId,
    });
    const hasLeft = session.phase === SessionPhase.Left;
    if (executor !== undefined && !isStopping && !hasLeft) {
      executor.acceptOrder(order);
      return;
    }
    const reason =
      isStopping || hasLeft ? RunEndReason.Draining : RunEndReason.WorkerGone;
    for (const { taskId, run } of order.tasks) {
      runEnded(session.dispatcherId, {
        jobId: order.jobId,
        taskId,
        run,
        requestId: order.requestId,
        outcome: RunOutcome.NotStarted,
        reason,
        waitedMilliseconds: 0,
        runMilliseconds: 0,
      });
    }
  };

  const sessions: DispatcherSessions = new DispatcherSessions({
    ...options,
    sessionOpened: session => {
      reports.announceWorker(session);
    },
    received: handleMessage,
    phaseChanged: session => {
      reports.reportPhase(session);
    },
    sessionLost: session => {
      leases.endLease(session.dispatcherId);
      executor?.stopRuns(RunEndReason.DispatcherSilent, {
        dispatcher: session.dispatcherId,
      });
    },
    hasWorkFor: dispatcher => executor?.hasWorkFor(dispatcher) ?? false,
  });

  const openExecutor = ({ worker, bornAt }: WorkerReport): void => {
    logger.info('worker found', { ...worker });
    const opened: WorkerExecutor = new WorkerExecutor({
      worker,
      port: options.openWorker(worker, bornAt),
      timers,
      logger,
      fencing,
      leases,
      evacuations: evacuations.createRule(worker.dataCentre),
      leaseMilliseconds: options.leaseMilliseconds,
      reportsStartedWork: options.reportsStartedWork,
      runEnded,
      runsStalled: (dispatcher, runs) => {
        const session = sessions.findSession(dispatcher);
        if (session === undefined) return;
        reports.send(session, { kind: FromWorkerKind.StalledRuns, runs });
      },
      stateChanged: () => {
        reports.announceToAll();
      },
      capacityFreed: () => {
        reports.reportToAll();
      },
      incarnationEnded: reason => {
        logger.warn('worker lost', { worker: worker.workerId, reason });
        if (executor === opened) executor = undefined;
        reports.announceToAll();
      },
    });
    executor = opened;
  };

  const workerReported = (report: WorkerReport): boolean => {
    if (latestReport !== undefined && isOlderReport(report, latestReport))
      return false;
    if (isRepeatedReport(report, reportBeforeLeave)) return false;
    latestReport = report;
    const { worker, draining } = report;
    if (
      executor !== undefined &&
      executor.worker.incarnation !== worker.incarnation
    ) {
      executor.close(RunEndReason.WorkerGone);
    }
    if (executor === undefined && !isStopping) openExecutor(report);
    if (draining) executor?.drain();
    return true;
  };

  const kill = (): void => {
    isStopping = true;
    reports.stop();
    evacuations.close();
    sessions.close();
    executor?.kill();
  };

  return {
    workerReported,
    workerLeft: workerId => {
      if (latestReport?.worker.workerId === workerId)
        reportBeforeLeave = latestReport;
      if (executor?.worker.workerId === workerId)
        executor.close(RunEndReason.WorkerGone);
    },
    changeSeeds: dispatchers => {
      sessions.changeSeeds(dispatchers);
    },
    getExecutor: () => executor,
    listSessions: () => sessions.listConnected(),
    stop: async graceMilliseconds => {
      isStopping = true;
      executor?.drain();
      const stopAt = timers.now() + graceMilliseconds;
      while (executor?.isIdle === false && timers.now() < stopAt) {
        await sleep(timers, stopPollMilliseconds);
      }
      executor?.close(RunEndReason.Draining);
      await sleep(timers, stopPollMilliseconds);
      kill();
    },
    kill,
  };
}

function selectRuns(
  { dispatcherId }: DispatcherSession,
  { jobId, taskIds }: Pick<Required<RunSelection>, 'jobId' | 'taskIds'>,
): RunSelection {
  return { dispatcher: dispatcherId, jobId, taskIds };
}
