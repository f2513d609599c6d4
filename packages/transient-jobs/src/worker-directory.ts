/** The sidecars that are connected to this dispatcher, and the runs that it has there. */
import type { Logger } from '@cranberryturn/logger';
import {
  acceptSessions,
  type SessionListener,
  type SessionTimes,
} from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  JobId,
  KnownDispatcher,
  Milliseconds,
  RunEnd,
  RunOrder,
  StillRun,
  TargetId,
  TaskId,
  WorkerRun,
} from '@cranberryturn/types';
import {
  type Connection,
  dispatcherLease,
  FromWorkerKind,
  type FromWorkerMessage,
  type PeerIdentity,
  runBeatInterval,
  type ToWorkerBody,
  ToWorkerKind,
  type ToWorkerMessage,
} from '@cranberryturn/wire';

import {
  createKnownWorker,
  isUsable,
  type KnownWorker,
  noteLoad,
  noteOrder,
} from './known-worker.js';

const tickMilliseconds: Milliseconds = 100;

/** What happens at the workers. */
export interface WorkerEvents {
  readonly runEnded: (workerId: TargetId, end: RunEnd) => void;
  readonly runsStill: (known: KnownWorker, runs: readonly StillRun[]) => void;
  /** Nothing of this dispatcher is at work at the worker any more. */
  readonly workerLost: (workerId: TargetId) => void;
  /** A worker was announced. */
  readonly workerFound: () => void;
  /** A worker told its load. */
  readonly loadTold: (known: KnownWorker) => void;
  readonly hasRunsAt: (workerId: TargetId) => boolean;
}

/** What the directory needs. */
export interface WorkerDirectoryOptions extends WorkerEvents {
  readonly timers: TimerService;
  readonly times: SessionTimes;
  readonly logger: Logger;
  /** Dispatchers that sidecars should know. */
  readonly listDispatchers: () => readonly KnownDispatcher[];
}

/** One run of a sidecar. */
interface SidecarLink {
  readonly sidecar: string;
  readonly send: (message: ToWorkerMessage) => void;
  known: KnownWorker | undefined;
  /** Newest stamp heard. */
  echo: Milliseconds;
  heardAt: Milliseconds;
  sentAt: Milliseconds;
  /** Orders to place runs that were sent. */
  orders: number;
  /** Whether the session goes on. */
  open: boolean;
}

/** Connects a dispatcher with the sidecars. */
export class WorkerDirectory {
  readonly #options: WorkerDirectoryOptions;
  readonly #links = new Set<SidecarLink>();
  /** The link of each announced worker. */
  readonly #byWorker = new Map<TargetId, SidecarLink>();
  readonly #acceptor;
  readonly #ticker;

  constructor(options: WorkerDirectoryOptions) {
    this.#options = options;
    this.#acceptor = acceptSessions<ToWorkerMessage, FromWorkerMessage>({
      timers: options.timers,
      times: options.times,
      startSession: (peer, send) => this.#startSession(peer, send),
    });
    this.#ticker = options.timers.every(tickMilliseconds, () => {
      this.#tick();
    });
  }

  /** Serves the connection of a sidecar until it ends. */
  accept(connection: Connection): void {
    void this.#acceptor.acceptConnection(connection);
  }

  /** Workers of a service that were announced. */
  *listWorkers(service: string): Iterable<KnownWorker> {
    for (const { known, open } of this.#links) {
      if (open && known?.worker.service === service) yield known;
    }
  }

  /** The worker as it was announced last. */
  find(workerId: TargetId): KnownWorker | undefined {
    return this.#find(workerId)?.known;
  }

  /** Workers that tasks can be given to now. */
  countUsable(): number {
    const now = this.#options.timers.now();
    let usable = 0;
    for (const { known, open } of this.#links) {
      if (open && known !== undefined && isUsable(known, now)) usable += 1;
    }
    return usable;
  }

  placeRuns(workerId: TargetId, order: RunOrder): void {
    const link = this.#find(workerId);
    if (link?.known === undefined) return;
    link.orders += 1;
    noteOrder(link.known, link.orders, order);
    this.#send(link, { kind: ToWorkerKind.PlaceRuns, order });
  }

  stopRuns(workerId: TargetId, jobId: JobId, taskIds: readonly TaskId[]): void {
    this.#send(this.#find(workerId), {
      kind: ToWorkerKind.StopRuns,
      jobId,
      taskIds,
    });
  }

  /** Asks for those of some runs that still wait. */
  returnRuns(
    workerId: TargetId,
    jobId: JobId,
    taskIds: readonly TaskId[],
  ): void {
    this.#send(this.#find(workerId), {
      kind: ToWorkerKind.ReturnRuns,
      jobId,
      taskIds,
    });
  }

  /** Tells all sidecars which dispatchers there are. */
  sendDispatcherList(): void {
    for (const link of this.#links) this.#tellDispatchers(link);
  }

  close(): void {
    this.#ticker.cancel();
    this.#acceptor.close();
  }

  #find(workerId: TargetId): SidecarLink | undefined {
    const link = this.#byWorker.get(workerId);
    return link?.open === true ? link : undefined;
  }

  #send(link: SidecarLink | undefined, body: ToWorkerBody): void {
    if (link === undefined) return;
    link.sentAt = this.#options.timers.now();
    link.send({ ...body, echo: link.echo });
  }

  #tellDispatchers(link: SidecarLink): void {
    const dispatchers = this.#options.listDispatchers();
    if (dispatchers.length === 0) return;
    this.#send(link, { kind: ToWorkerKind.KnownDispatchers, dispatchers });
  }

  #startSession(
    peer: PeerIdentity,
    send: (message: ToWorkerMessage) => void,
  ): SessionListener<FromWorkerMessage> {
    const { timers, logger } = this.#options;
    const sidecar = peer.name;
    const link: SidecarLink = {
      sidecar,
      send,
      known: undefined,
      echo: -dispatcherLease,
      heardAt: timers.now(),
      sentAt: timers.now(),
      orders: 0,
      open: true,
    };
    this.#links.add(link);
    return {
      messageReceived: message => {
        this.#receive(link, message);
      },
      hasWork: () => this.#hasRuns(link),
      connected: () => {
        logger.info('sidecar connected', { sidecar });
        this.#tellDispatchers(link);
      },
      suspected: () => {
        logger.warn('sidecar not heard', { sidecar });
      },
      ended: reason => {
        logger.info('session with sidecar ended', { sidecar, reason });
        link.open = false;
      },
    };
  }

  #receive(link: SidecarLink, message: FromWorkerMessage): void {
    const now = this.#options.timers.now();
    link.echo = Math.max(link.echo, message.stamp);
    link.heardAt = now;
    if (message.kind === FromWorkerKind.Announce) {
      this.#noteAnnouncement(link, message.worker, message);
    }
    if (link.known !== undefined)
      noteLoad(link.known, message.load, message.orders, now);
    if (link.known === undefined) return;
    this.#passOn(link.known, message);
    this.#options.loadTold(link.known);
  }

  #passOn(known: KnownWorker, message: FromWorkerMessage): void {
    switch (message.kind) {
      case FromWorkerKind.RunsEnded:
        for (const end of message.ends) {
          this.#options.runEnded(known.workerId, end);
        }
        return;
      case FromWorkerKind.StillRuns:
        this.#options.runsStill(known, message.runs);
        return;
      case FromWorkerKind.Announce:
      case FromWorkerKind.Beat:
        return;
    }
  }

  /** An announced worker runs nothing of an earlier life or an earlier sidecar; one that is not announced yet may. */
  #noteAnnouncement(
    link: SidecarLink,
    worker: WorkerRun | undefined,
    { load }: FromWorkerMessage,
  ): void {
    const { timers, logger, workerFound } = this.#options;
    if (worker !== undefined) this.#dropEarlier(link);
    const isSame = link.known?.worker.incarnation === worker?.incarnation;
    if (isSame) return;
    this.#forget(link);
    if (worker === undefined) return;
    logger.info('worker announced', { ...worker });
    link.known = createKnownWorker(worker, load, timers.now());
    this.#byWorker.set(worker.workerId, link);
    workerFound();
  }

  #dropEarlier(link: SidecarLink): void {
    for (const other of this.#links) {
      if (other.sidecar === link.sidecar && other !== link) this.#drop(other);
    }
  }

  #drop(link: SidecarLink): void {
    this.#forget(link);
    this.#links.delete(link);
  }

  #forget(link: SidecarLink): void {
    const { known } = link;
    if (known === undefined) return;
    link.known = undefined;
    if (this.#byWorker.get(known.workerId) === link) {
      this.#byWorker.delete(known.workerId);
    }
    this.#options.logger.info('worker no longer announced', {
      worker: known.workerId,
    });
    this.#options.workerLost(known.workerId);
  }

  #hasRuns({ known }: SidecarLink): boolean {
    return known !== undefined && this.#options.hasRunsAt(known.workerId);
  }

  /** Renews the lease where runs are, and gives up on sidecars that were silent for all of it. */
  #tick(): void {
    const now = this.#options.timers.now();
    for (const link of this.#links) {
      if (now - link.heardAt >= dispatcherLease) {
        this.#giveUp(link);
        continue;
      }
      if (
        link.open &&
        now - link.sentAt >= runBeatInterval &&
        this.#hasRuns(link)
      ) {
        this.#send(link, { kind: ToWorkerKind.Beat });
      }
    }
  }

  #giveUp(link: SidecarLink): void {
    if (!link.open) {
      this.#drop(link);
      return;
    }
    if (!this.#hasRuns(link) || link.known === undefined) return;
    this.#options.logger.warn('sidecar silent for longer than its lease', {
      sidecar: link.sidecar,
      silenceMilliseconds: Math.round(
        this.#options.timers.now() - link.heardAt,
      ),
    });
    this.#options.workerLost(link.known.workerId);
  }
}
