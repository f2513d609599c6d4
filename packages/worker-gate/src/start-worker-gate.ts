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
  type WorkerLoad,
  type WorkerRun,
} from '@cranberryturn/types';
import {
  type FromWorkerBody,
  FromWorkerKind,
  type Network,
  runHeartbeatInterval,
  type ToWorkerMessage,
  ToWorkerKind,
} from '@cranberryturn/wire';

import type { RunSelection } from './active-run.js';
import { DispatcherLeases } from './dispatcher-leases.js';
import {
  type DispatcherSession,
  DispatcherSessions,
} from './dispatcher-sessions.js';
import { Fencing } from './fencing.js';
import type { WorkerPort } from './ports/worker.js';
import { WorkerExecutor } from './worker-executor.js';
import { isOlderReport, type WorkerReport } from './worker-report.js';

/** Maximum interval between load reports to a dispatcher without runs here: its lease needs a recent stamp. */
const idleHeartbeatMilliseconds: Milliseconds = 300;
const heartbeatCheckMilliseconds: Milliseconds = 100;
const stopPollMilliseconds: Milliseconds = 20;

const noLoad: WorkerLoad = {
  free: { processors: 0, memoryMebibytes: 0, accelerators: 0 },
  waitingWork: [],
  runningWork: 0,
  closed: true,
};

/** Options of a worker gate. */
export interface WorkerGateOptions {
  readonly network: Network;
  /** Dispatchers to dial first; they send the list of all dispatchers. */
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Longest lease that the worker grants. */
  readonly leaseMilliseconds: Milliseconds;
  /** Opens a port to one incarnation of the worker. `bornAt` is its start on the clock of the worker. */
  readonly openWorker: (worker: WorkerRun, bornAt: Milliseconds) => WorkerPort;
}

/** A running gate. */
export interface WorkerGate {
  /** Applies a report of the worker. False when a later report is known, also of a later incarnation. */
  workerReported(report: WorkerReport): boolean;
  /** Ends the current incarnation, as the worker has announced its departure. */
  workerLeft(workerId: string): void;
  /** Dials further dispatchers after a change of the settings. */
  addSeeds(dispatchers: readonly NetworkAddress[]): void;
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
  let isStopping = false;
  /** Dispatchers that have not received the latest change of the load. */
  const outdatedDispatchers = new Set<DispatcherId>();

  const load = (): WorkerLoad => executor?.load ?? noLoad;

  const send = (session: DispatcherSession, body: FromWorkerBody): void => {
    const now = timers.now();
    session.lastSentAt = now;
    outdatedDispatchers.delete(session.dispatcherId);
    session.send({ ...body, stamp: now, load: load(), orders: session.orders });
  };

  const announceWorker = (session: DispatcherSession): void => {
    const worker =
      executor?.lease.isReady === true ? executor.worker : undefined;
    send(session, { kind: FromWorkerKind.Announce, worker });
  };

  const announceToAll = (): void => {
    for (const session of sessions.listConnected()) announceWorker(session);
  };

  const runEnded = (dispatcher: DispatcherId, end: RunEnd): void => {
    metrics.count(chooseCounter(end.outcome));
    logger.info('run ended', {
      dispatcher,
      worker: executor?.worker.workerId,
      ...end,
    });
    const session = sessions.findSession(dispatcher);
    if (session === undefined) return;
    const ends = pendingEnds.get(session);
    if (ends !== undefined) {
      ends.push(end);
      return;
    }
    pendingEnds.set(session, [end]);
    // Ends in one status report of the worker are sent in one message.
    queueMicrotask(() => {
      const endsToSend = pendingEnds.get(session) ?? [];
      pendingEnds.delete(session);
      send(session, { kind: FromWorkerKind.RunsEnded, ends: endsToSend });
    });
  };
  const pendingEnds = new Map<DispatcherSession, RunEnd[]>();

  const handleMessage = (
    session: DispatcherSession,
    message: ToWorkerMessage,
  ): void => {
    leases.renew(session.dispatcherId, message.echo);
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
        sessions.updateDispatchers(message.dispatchers.map(one => one.address));
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
    if (executor !== undefined && !isStopping) {
      executor.acceptOrder(order);
      return;
    }
    const reason = isStopping ? RunEndReason.Draining : RunEndReason.WorkerGone;
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
    sessionOpened: announceWorker,
    received: handleMessage,
    sessionLost: session => {
      leases.endLease(session.dispatcherId);
      executor?.stopRuns(RunEndReason.DispatcherSilent, {
        dispatcher: session.dispatcherId,
      });
    },
    hasWorkFor: dispatcher => executor?.hasWorkFor(dispatcher) ?? false,
  });

  const heartbeatTimer = timers.every(heartbeatCheckMilliseconds, () => {
    const now = timers.now();
    for (const session of sessions.listConnected()) {
      const needsPromptHeartbeat =
        outdatedDispatchers.has(session.dispatcherId) ||
        (executor?.hasWorkFor(session.dispatcherId) ?? false);
      const intervalMilliseconds = needsPromptHeartbeat
        ? runHeartbeatInterval
        : idleHeartbeatMilliseconds;
      if (now - session.lastSentAt < intervalMilliseconds) continue;
      send(session, { kind: FromWorkerKind.Heartbeat });
    }
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
      leaseMilliseconds: options.leaseMilliseconds,
      runEnded,
      runsStalled: (dispatcher, runs) => {
        const session = sessions.findSession(dispatcher);
        if (session === undefined) return;
        send(session, { kind: FromWorkerKind.StalledRuns, runs });
      },
      stateChanged: announceToAll,
      usageChanged: () => {
        for (const { dispatcherId } of sessions.listConnected())
          outdatedDispatchers.add(dispatcherId);
      },
      capacityFreed: () => {
        for (const session of sessions.listConnected()) {
          send(session, { kind: FromWorkerKind.Heartbeat });
        }
      },
      incarnationEnded: reason => {
        logger.warn('worker lost', { worker: worker.workerId, reason });
        if (executor === opened) executor = undefined;
        announceToAll();
      },
    });
    executor = opened;
  };

  const workerReported = (report: WorkerReport): boolean => {
    if (latestReport !== undefined && isOlderReport(report, latestReport))
      return false;
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
    heartbeatTimer.cancel();
    sessions.close();
    executor?.kill();
  };

  return {
    workerReported,
    workerLeft: workerId => {
      if (executor?.worker.workerId === workerId)
        executor.close(RunEndReason.WorkerGone);
    },
    addSeeds: dispatchers => {
      sessions.updateDispatchers(dispatchers);
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

function chooseCounter(outcome: RunOutcome): Counter {
  switch (outcome) {
    case RunOutcome.Done:
      return Counter.TasksAnswered;
    case RunOutcome.Failed:
    case RunOutcome.Interrupted:
      return Counter.TasksFailed;
    case RunOutcome.NotStarted:
      return Counter.TasksNotStarted;
  }
}
