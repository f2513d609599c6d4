/** Stands between all dispatchers and one worker: keeps the sessions, and one life of the worker. */
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
  runBeatInterval,
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
import { WorkerLife } from './worker-life.js';
import { isOlder, type WorkerReport } from './worker-report.js';

/** A dispatcher without runs here hears of the load this often at the least: its lease needs a recent stamp. */
const idleBeatInterval: Milliseconds = 300;
const beatTick: Milliseconds = 100;
const stopPoll: Milliseconds = 20;

const noLoad: WorkerLoad = {
  free: { processors: 0, memoryMebibytes: 0, accelerators: 0 },
  waitingWork: [],
  runningWork: 0,
  closed: true,
};

/** What a gate is built from. */
export interface WorkerGateOptions {
  readonly network: Network;
  /** Dispatchers to dial first; others are learned from them. */
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly leaseMilliseconds: Milliseconds;
  /** Opens the way to one life of the worker. */
  readonly openWorker: (worker: WorkerRun, bornAt: Milliseconds) => WorkerPort;
}

/** A running gate. */
export interface WorkerGate {
  /** Takes in what the worker says of itself. False when a later life is known already. */
  workerReported(report: WorkerReport): boolean;
  workerLeft(workerId: string): void;
  /** Dials further dispatchers, as the settings changed. */
  addSeeds(dispatchers: readonly NetworkAddress[]): void;
  /** The present life of the worker. */
  getExecutor(): WorkerLife | undefined;
  listSessions(): readonly DispatcherSession[];
  /** Planned stop: refuses new runs, and resolves when those at work have ended or time is over. */
  stop(grace: Milliseconds): Promise<void>;
  /** Ends everything at once, as a crash would. */
  kill(): void;
}

/** Starts the gate of one worker. */
export function startWorkerGate(options: WorkerGateOptions): WorkerGate {
  const { timers, logger, metrics } = options;
  const fencing = new Fencing(timers);
  const leases = new DispatcherLeases();
  let life: WorkerLife | undefined;
  let latest: WorkerReport | undefined;
  let stopping = false;
  /** Dispatchers that have not heard of the last change of the load. */
  const untold = new Set<DispatcherId>();

  const load = (): WorkerLoad => life?.load ?? noLoad;

  const send = (session: DispatcherSession, body: FromWorkerBody): void => {
    const now = timers.now();
    session.sentAt = now;
    untold.delete(session.dispatcherId);
    session.send({ ...body, stamp: now, load: load(), orders: session.orders });
  };

  const announce = (session: DispatcherSession): void => {
    const worker = life?.lease.isReady === true ? life.worker : undefined;
    send(session, { kind: FromWorkerKind.Announce, worker });
  };

  const announceToAll = (): void => {
    for (const session of sessions.list()) announce(session);
  };

  const runEnded = (dispatcher: DispatcherId, end: RunEnd): void => {
    metrics.count(chooseCounter(end.outcome));
    logger.info('run ended', {
      dispatcher,
      worker: life?.worker.workerId,
      ...end,
    });
    const session = sessions.find(dispatcher);
    if (session === undefined) return;
    const ends = waitingEnds.get(session);
    if (ends !== undefined) {
      ends.push(end);
      return;
    }
    waitingEnds.set(session, [end]);
    // Ends of one answer of the worker travel together.
    queueMicrotask(() => {
      const together = waitingEnds.get(session) ?? [];
      waitingEnds.delete(session);
      send(session, { kind: FromWorkerKind.RunsEnded, ends: together });
    });
  };
  const waitingEnds = new Map<DispatcherSession, RunEnd[]>();

  const receive = (
    session: DispatcherSession,
    message: ToWorkerMessage,
  ): void => {
    leases.renew(session.dispatcherId, message.echo);
    switch (message.kind) {
      case ToWorkerKind.PlaceRuns:
        acceptOrder(session, message);
        return;
      case ToWorkerKind.StopRuns:
        life?.stop(RunEndReason.Cancelled, select(session, message));
        return;
      case ToWorkerKind.ReturnRuns:
        life?.giveBack(select(session, message));
        return;
      case ToWorkerKind.Beat:
        return;
      case ToWorkerKind.KnownDispatchers:
        sessions.follow(message.dispatchers.map(one => one.address));
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
    if (life !== undefined && !stopping) {
      life.accept(order);
      return;
    }
    const reason = stopping ? RunEndReason.Draining : RunEndReason.WorkerGone;
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
    opened: announce,
    received: receive,
    lost: session => {
      leases.end(session.dispatcherId);
      life?.stop(RunEndReason.DispatcherSilent, {
        dispatcher: session.dispatcherId,
      });
    },
    hasWorkFor: dispatcher => life?.hasWorkFor(dispatcher) ?? false,
  });

  const beat = timers.every(beatTick, () => {
    const now = timers.now();
    for (const session of sessions.list()) {
      const isClose =
        untold.has(session.dispatcherId) ||
        (life?.hasWorkFor(session.dispatcherId) ?? false);
      const interval = isClose ? runBeatInterval : idleBeatInterval;
      if (now - session.sentAt < interval) continue;
      send(session, { kind: FromWorkerKind.Beat });
    }
  });

  const openLife = ({ worker, bornAt }: WorkerReport): void => {
    logger.info('worker found', { ...worker });
    const opened: WorkerLife = new WorkerLife({
      worker,
      port: options.openWorker(worker, bornAt),
      timers,
      logger,
      fencing,
      leases,
      leaseMilliseconds: options.leaseMilliseconds,
      runEnded,
      runsStill: (dispatcher, runs) => {
        const session = sessions.find(dispatcher);
        if (session === undefined) return;
        send(session, { kind: FromWorkerKind.StillRuns, runs });
      },
      stateChanged: announceToAll,
      usageChanged: () => {
        for (const { dispatcherId } of sessions.list())
          untold.add(dispatcherId);
      },
      roomFound: () => {
        for (const session of sessions.list()) {
          send(session, { kind: FromWorkerKind.Beat });
        }
      },
      lost: reason => {
        logger.warn('worker lost', { worker: worker.workerId, reason });
        if (life === opened) life = undefined;
        announceToAll();
      },
    });
    life = opened;
  };

  const workerReported = (report: WorkerReport): boolean => {
    if (latest !== undefined && isOlder(report, latest)) return false;
    latest = report;
    const { worker, draining } = report;
    if (life !== undefined && life.worker.incarnation !== worker.incarnation) {
      life.close(RunEndReason.WorkerGone);
    }
    if (life === undefined && !stopping) openLife(report);
    if (draining) life?.drain();
    return true;
  };

  const kill = (): void => {
    stopping = true;
    beat.cancel();
    sessions.close();
    life?.kill();
  };

  return {
    workerReported,
    workerLeft: workerId => {
      if (life?.worker.workerId === workerId)
        life.close(RunEndReason.WorkerGone);
    },
    addSeeds: dispatchers => {
      sessions.follow(dispatchers);
    },
    getExecutor: () => life,
    listSessions: () => sessions.list(),
    stop: async grace => {
      stopping = true;
      life?.drain();
      const giveUpAt = timers.now() + grace;
      while (life?.isIdle === false && timers.now() < giveUpAt) {
        await sleep(timers, stopPoll);
      }
      life?.close(RunEndReason.Draining);
      await sleep(timers, stopPoll);
      kill();
    },
    kill,
  };
}

function select(
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
