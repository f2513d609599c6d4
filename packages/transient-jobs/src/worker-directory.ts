/** Tracks the sidecars connected to this dispatcher and their workers, and exchanges messages with them. */
import { acceptSessions, type SessionListener } from '@cranberryturn/sessions';
import type {
  JobId,
  Milliseconds,
  RunOrder,
  ServiceName,
  TargetId,
  TaskId,
  WorkerLoad,
  WorkerRun,
} from '@cranberryturn/types';
import {
  type Connection,
  FromWorkerKind,
  type FromWorkerMessage,
  isFromWorkerMessage,
  type PeerIdentity,
  type ToWorkerBody,
  ToWorkerKind,
  type ToWorkerMessage,
} from '@cranberryturn/wire';

import { DispatcherListDistributor } from './distribute-dispatcher-list.js';
import { EvacuationDistributor } from './distribute-evacuations.js';
import {
  createKnownWorker,
  type KnownWorker,
  updateLoad,
  recordOrder,
} from './known-worker.js';
import { reportEndedRuns, RunsEndedReason } from './report-ended-runs.js';
import { reportWorkerEvents } from './report-worker-events.js';
import {
  countUsable,
  createSidecarSession,
  listEarlierProcesses,
  type SessionNumber,
  type SidecarSession,
  updateCoordination,
} from './sidecar-session.js';
import { SidecarLeases } from './sidecar-leases.js';
import type { WorkerDirectoryOptions } from './worker-directory-options.js';

const checkIntervalMilliseconds: Milliseconds = 100;
/** Some tasks of one job. */
export interface TasksOfJob {
  readonly jobId: JobId;
  readonly taskIds: readonly TaskId[];
}

/** The workers that one dispatcher can reach through their sidecars. */
export class WorkerDirectory {
  /** Sends the state of evacuations to the sidecars. */
  readonly evacuations: EvacuationDistributor;
  /** Sends the list of dispatchers to the sidecars. */
  readonly dispatcherList: DispatcherListDistributor;
  readonly #options: WorkerDirectoryOptions;
  readonly #sessions = new Map<SessionNumber, SidecarSession>();
  readonly #sessionsByWorker = new Map<TargetId, SidecarSession>();
  readonly #acceptor;
  readonly #ticker;
  readonly #leases: SidecarLeases;
  #lastSessionNumber: SessionNumber = 0;

  constructor(options: WorkerDirectoryOptions) {
    this.#options = options;
    this.evacuations = new EvacuationDistributor({
      ...options,
      sessions: this.#sessions,
      send: (session, body) => {
        this.#send(session, body);
      },
    });
    this.dispatcherList = new DispatcherListDistributor({
      ...options,
      sessions: this.#sessions,
      send: (session, body) => {
        this.#send(session, body);
      },
    });
    this.#leases = new SidecarLeases({
      ...options,
      hasRuns: session => this.#hasRuns(session),
      sendHeartbeat: session => {
        this.#send(session, { kind: ToWorkerKind.Heartbeat });
      },
      workerUsable: options.workerAnnounced,
      expired: session => {
        this.#handleSilence(session);
      },
    });
    this.#acceptor = acceptSessions<ToWorkerMessage, FromWorkerMessage>({
      timers: options.timers,
      times: options.times,
      isMessage: isFromWorkerMessage,
      startSession: (peer, send) => this.#startSession(peer, send),
    });
    this.#ticker = options.timers.every(checkIntervalMilliseconds, () => {
      for (const session of this.#sessions.values())
        this.#leases.check(session);
      this.evacuations.check();
    });
  }

  /** Serves the connection of a sidecar until it ends. */
  accept(connection: Connection): void {
    void this.#acceptor.acceptConnection(connection);
  }

  *listWorkers(service: string): Iterable<KnownWorker> {
    for (const { known, isOpen } of this.#sessions.values()) {
      if (isOpen && known?.worker.service === service) yield known;
    }
  }

  /** Names of the sidecars whose workers serve the service, or did before they were lost. */
  listHosts(service: ServiceName): readonly string[] {
    const hosts = [...this.#sessions.values()].flatMap(one =>
      one.service === service ? [one.peer.name] : [],
    );
    return [...new Set(hosts)];
  }

  /** Finds an announced worker whose session is open. */
  findWorker(workerId: TargetId): KnownWorker | undefined {
    return this.#findSession(workerId)?.known;
  }

  /** Number of workers that accept tasks now. */
  countUsableWorkers(): number {
    return countUsable(this.#sessions.values(), this.#options.timers.now());
  }

  placeRuns(workerId: TargetId, order: RunOrder): void {
    const session = this.#findSession(workerId);
    if (session?.known === undefined) return;
    session.orders += 1;
    // An outstanding grant of this dispatcher already reserves the resources of its order.
    if (order.grant?.coordinator !== this.#options.dispatcherId)
      recordOrder(session.known, session.orders, order);
    this.#send(session, { kind: ToWorkerKind.PlaceRuns, order });
  }

  stopRuns(session: SessionNumber, tasks: TasksOfJob): void {
    const kind = ToWorkerKind.StopRuns;
    this.#send(this.#findOpenSession(session), { kind, ...tasks });
  }

  /** Recalls runs that have not started; runs that have started are not affected. */
  returnRuns(session: SessionNumber, tasks: TasksOfJob): void {
    const kind = ToWorkerKind.ReturnRuns;
    this.#send(this.#findOpenSession(session), { kind, ...tasks });
  }

  close(): void {
    this.#ticker.cancel();
    this.#leases.close();
    this.dispatcherList.close();
    this.#acceptor.close();
  }

  #findSession(workerId: TargetId): SidecarSession | undefined {
    const session = this.#sessionsByWorker.get(workerId);
    return session?.isOpen === true ? session : undefined;
  }

  #findOpenSession(number: SessionNumber): SidecarSession | undefined {
    const session = this.#sessions.get(number);
    return session?.isOpen === true ? session : undefined;
  }

  #send(session: SidecarSession | undefined, body: ToWorkerBody): void {
    if (session === undefined) return;
    session.lastSentAt = this.#options.timers.now();
    session.send({ ...body, echo: session.echo });
  }

  #startSession(
    peer: PeerIdentity,
    send: (message: ToWorkerMessage) => void,
  ): SessionListener<FromWorkerMessage> {
    const { timers, logger } = this.#options;
    const identity = { sidecar: peer.name, incarnation: peer.incarnation };
    this.#lastSessionNumber += 1;
    const session = createSidecarSession(
      this.#lastSessionNumber,
      peer,
      send,
      timers.now(),
    );
    this.#sessions.set(session.number, session);
    return {
      messageReceived: message => {
        this.#handleMessage(session, message);
      },
      hasWork: () => this.#hasRuns(session),
      connected: () => {
        logger.info('sidecar connected', identity);
      },
      suspected: () => {
        logger.warn('sidecar not heard', identity);
      },
      ended: reason => {
        logger.info('session with sidecar ended', { ...identity, reason });
        session.isOpen = false;
      },
    };
  }

  #handleMessage(session: SidecarSession, message: FromWorkerMessage): void {
    const now = this.#options.timers.now();
    this.#leases.recordMessage(session, message.stamp);
    session.listVersion = Math.max(
      session.listVersion,
      message.dispatcherListVersion ?? 0,
    );
    session.evacuations.confirmedVersion = message.evacuationVersion;
    if (message.kind === FromWorkerKind.Announce) {
      // Before the announcement, which may place runs at once.
      this.evacuations.notify(session);
      this.#handleAnnouncement(session, message.worker, message.load);
      this.dispatcherList.update(session);
    }
    if (message.kind === FromWorkerKind.Leave) this.#endSession(session);
    if (message.kind === FromWorkerKind.Coordination)
      updateCoordination(session, message);
    if (session.known !== undefined)
      updateLoad(
        session.known,
        message.load,
        message.orders,
        now,
        message.grants,
      );
    if (message.kind === FromWorkerKind.WorkerCrashes) {
      for (const crash of message.crashes)
        this.#options.workerCrashed(session.peer.name, crash);
    }
    reportWorkerEvents(session, message, this.#options);
    if (session.known !== undefined) this.#options.loadReported(session.known);
  }

  /**
   * Applies an announcement. It says nothing about runs: the sidecar reports the end of each, also at a worker that it no
   * longer announces.
   */
  #handleAnnouncement(
    session: SidecarSession,
    worker: WorkerRun | undefined,
    load: WorkerLoad,
  ): void {
    const { timers, logger, workerAnnounced } = this.#options;
    const others = worker === undefined ? [] : this.#sessions.values();
    for (const earlier of listEarlierProcesses(others, session))
      this.#dropSession(earlier, RunsEndedReason.SidecarReplaced);
    const { known } = session;
    if (known?.worker.incarnation === worker?.incarnation) {
      // Its capacity may have changed.
      if (known && worker) known.worker = worker;
      return;
    }
    this.#forgetWorker(session);
    if (worker === undefined) return;
    logger.info('worker announced', { ...worker });
    const { name } = session.peer;
    session.known = createKnownWorker(worker, load, timers.now(), name);
    session.known.sessionNumber = session.number;
    session.known.coordination = session.coordination;
    session.known.echoReceivedAt = session.echoReceivedAt;
    session.service = worker.service;
    this.evacuations.mark(session.known);
    this.#sessionsByWorker.set(worker.workerId, session);
    workerAnnounced();
  }

  #dropSession(session: SidecarSession, reason: RunsEndedReason): void {
    this.#forgetWorker(session);
    this.#sessions.delete(session.number);
    this.#countRunsAsEnded(session, reason);
  }

  #countRunsAsEnded(session: SidecarSession, reason: RunsEndedReason): void {
    if (this.#hasRuns(session)) reportEndedRuns(session, reason, this.#options);
    this.#options.runsLost(session.number);
  }

  /** Ends the session of a sidecar that leaves it; no run of this dispatcher is left there. */
  #endSession(session: SidecarSession): void {
    this.#options.logger.info('sidecar leaves the session', {
      sidecar: session.peer.name,
    });
    this.#dropSession(session, RunsEndedReason.SidecarLeft);
    this.#acceptor.endSession(session.peer);
  }

  /** Places no further tasks on the worker of a session. */
  #forgetWorker(session: SidecarSession): void {
    const { known } = session;
    if (known === undefined) return;
    session.known = undefined;
    if (this.#sessionsByWorker.get(known.workerId) === session) {
      this.#sessionsByWorker.delete(known.workerId);
    }
    this.#options.logger.info('worker no longer announced', {
      worker: known.workerId,
    });
  }

  #hasRuns({ number }: SidecarSession): boolean {
    return this.#options.hasRunsIn(number);
  }

  #handleSilence(session: SidecarSession): void {
    if (!session.isOpen) {
      this.#dropSession(session, RunsEndedReason.SidecarSilent);
      return;
    }
    if (!this.#hasRuns(session)) return;
    this.#countRunsAsEnded(session, RunsEndedReason.SidecarSilent);
  }
}
