/** Messages from a sidecar to its dispatchers: announcements, ends of runs and periodic load reports. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  DispatcherId,
  EvacuationVersion,
  Milliseconds,
  RunEnd,
  RunOrder,
  WorkerCrash,
  WorkerLoad,
  WorkerRun,
} from '@cranberryturn/types';
import { type FromWorkerBody, FromWorkerKind } from '@cranberryturn/wire';

import type { DispatcherSession } from './dispatcher-session.js';
import type { DispatcherSessions } from './dispatcher-sessions.js';
import { SessionPhase } from './session-phase.js';

/**
 * Interval after which a load report to a dispatcher without runs here is due; the next check sends
 * it. Its lease needs a recent stamp, and it places no runs on a worker that is silent for longer.
 */
const idleHeartbeatMilliseconds: Milliseconds = 350;
const heartbeatCheckMilliseconds: Milliseconds = 100;
/**
 * Delay of the report that an order has arrived, which most often rides on the report of an end. Far below the time
 * after which the coordinator considers a grant unused.
 */
const orderReportMilliseconds: Milliseconds = 20;

const noLoad: WorkerLoad = {
  free: { processors: 0, memoryMebibytes: 0, accelerators: 0 },
  waitingWork: [],
  runningWork: 0,
  closed: true,
};

/** State that the reports are composed from. */
export interface DispatcherReportsOptions {
  readonly timers: TimerService;
  /** Maximum time between messages to a dispatcher with runs here. */
  readonly heartbeatMilliseconds: Milliseconds;
  readonly sessions: () => DispatcherSessions;
  /** Load of the worker; undefined when there is none. */
  readonly load: () => WorkerLoad | undefined;
  /** Whether a run of the dispatcher is queued or active, or not known to have ended. */
  readonly hasWorkFor: (dispatcher: DispatcherId) => boolean;
  /** The worker to offer; undefined when there is none. */
  readonly offered: () => WorkerRun | undefined;
  /** Highest version of the evacuation state received; undefined before the first. */
  readonly evacuationVersion: () => EvacuationVersion | undefined;
}

/** Sends the reports of one sidecar. */
export class DispatcherReports {
  readonly #options: DispatcherReportsOptions;
  readonly #pendingEnds = new Map<DispatcherSession, RunEnd[]>();
  /** Grants whose orders have arrived and whose coordinator has not been told. */
  readonly #grants = new Map<DispatcherId, readonly number[]>();
  readonly #heartbeatTimer: TimerSubscription;
  #orderTimer: TimerSubscription | undefined;
  #isFreedReportDue = false;

  constructor(options: DispatcherReportsOptions) {
    this.#options = options;
    this.#heartbeatTimer = options.timers.every(
      heartbeatCheckMilliseconds,
      () => {
        this.#sendDueHeartbeats();
      },
    );
  }

  /** Sends a message with the current load. */
  send(session: DispatcherSession, body: FromWorkerBody): void {
    const { timers, sessions } = this.#options;
    const now = timers.now();
    const evacuationVersion = this.#options.evacuationVersion();
    session.lastSentAt = now;
    session.send({
      ...body,
      stamp: now,
      load: this.#composeLoad(session),
      orders: session.orders,
      dispatcherListVersion: sessions().listVersion,
      ...this.#takeGrants(session),
      ...(evacuationVersion === undefined ? {} : { evacuationVersion }),
    });
  }

  /** Announces the worker, or that none is ready, to one dispatcher. */
  announceWorker(session: DispatcherSession): void {
    const worker =
      session.phase === SessionPhase.Left ? undefined : this.#options.offered();
    this.send(session, { kind: FromWorkerKind.Announce, worker });
  }

  /** Reports crashes of the worker to one dispatcher. */
  reportCrashes(
    session: DispatcherSession,
    crashes: readonly WorkerCrash[],
  ): void {
    if (crashes.length === 0) return;
    this.send(session, { kind: FromWorkerKind.WorkerCrashes, crashes });
  }

  /** Records that an order has arrived; its coordinator and that of the worker are told with the next report. */
  recordOrder({ grant }: Pick<RunOrder, 'grant'>): void {
    const { timers, sessions } = this.#options;
    if (grant !== undefined) {
      const grants = this.#grants.get(grant.coordinator) ?? [];
      this.#grants.set(grant.coordinator, [...grants, grant.grant]);
    }
    this.#orderTimer ??= timers.after(orderReportMilliseconds, () => {
      this.#orderTimer = undefined;
      const { coordinator } = sessions().coordination;
      const others = [...this.#grants.keys()].filter(
        other => other !== coordinator,
      );
      for (const other of [coordinator, ...others]) this.#report(other);
    });
  }

  /** Reports to the coordinator that capacity is free, after all that happens in this turn of the event loop. */
  reportFreedCapacity(): void {
    if (this.#isFreedReportDue) return;
    this.#isFreedReportDue = true;
    queueMicrotask(() => {
      // Ends of runs are reported in microtasks, and may carry the load to the coordinator.
      queueMicrotask(() => {
        if (!this.#isFreedReportDue) return;
        this.#isFreedReportDue = false;
        this.#report(this.#options.sessions().coordination.coordinator);
      });
    });
  }

  announceToAll(): void {
    for (const session of this.#options.sessions().listConnected())
      this.announceWorker(session);
  }

  /** Tells the dispatcher of a session that its phase has changed. */
  reportPhase(session: DispatcherSession): void {
    const hasLeft = session.phase === SessionPhase.Left;
    const kind = hasLeft ? FromWorkerKind.Leave : FromWorkerKind.Heartbeat;
    this.send(session, { kind });
  }

  /** Reports the end of a run. Ends in one status report of the worker are sent in one message. */
  reportEnd(session: DispatcherSession, end: RunEnd): void {
    const ends = this.#pendingEnds.get(session);
    if (ends !== undefined) {
      ends.push(end);
      return;
    }
    this.#pendingEnds.set(session, [end]);
    queueMicrotask(() => {
      const endsToSend = this.#pendingEnds.get(session) ?? [];
      this.#pendingEnds.delete(session);
      this.send(session, { kind: FromWorkerKind.RunsEnded, ends: endsToSend });
    });
  }

  /** Reports the load to all dispatchers at once. */
  reportToAll(): void {
    for (const session of this.#options.sessions().listConnected())
      this.send(session, { kind: FromWorkerKind.Heartbeat });
  }

  stop(): void {
    this.#heartbeatTimer.cancel();
    this.#orderTimer?.cancel();
  }

  #report(dispatcher: DispatcherId | undefined): void {
    if (dispatcher === undefined) return;
    const session = this.#options.sessions().findSession(dispatcher);
    if (session?.isConnected === true)
      this.send(session, { kind: FromWorkerKind.Heartbeat });
    else this.#grants.delete(dispatcher);
  }

  #takeGrants({ dispatcherId }: DispatcherSession): {
    readonly grants?: readonly number[];
  } {
    if (dispatcherId === this.#options.sessions().coordination.coordinator) {
      this.#isFreedReportDue = false;
      this.#orderTimer?.cancel();
      this.#orderTimer = undefined;
    }
    const grants = this.#grants.get(dispatcherId);
    if (grants === undefined) return {};
    this.#grants.delete(dispatcherId);
    return { grants };
  }

  #sendDueHeartbeats(): void {
    const { timers, sessions, hasWorkFor, heartbeatMilliseconds } =
      this.#options;
    const now = timers.now();
    for (const session of sessions().listConnected()) {
      const hasWork = hasWorkFor(session.dispatcherId);
      const intervalMilliseconds = hasWork
        ? heartbeatMilliseconds
        : idleHeartbeatMilliseconds;
      if (now - session.lastSentAt < intervalMilliseconds) continue;
      this.send(session, { kind: FromWorkerKind.Heartbeat });
    }
  }

  #composeLoad({ phase }: DispatcherSession): WorkerLoad {
    const load = this.#options.load() ?? noLoad;
    return phase === SessionPhase.Open ? load : { ...load, closed: true };
  }
}
