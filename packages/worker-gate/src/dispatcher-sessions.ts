/**
 * The sessions of one sidecar with dispatchers. The sidecar chooses a bounded number of the known
 * dispatchers, so that the sessions of a dispatcher do not grow with the product of both numbers.
 */
import type { Logger } from '@cranberryturn/logger';
import type { RandomSource } from '@cranberryturn/random';
import {
  chooseSessionPeers,
  openSession,
  type SessionDialer,
  type SessionTimes,
} from '@cranberryturn/sessions';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  DispatcherId,
  DispatcherList,
  KnownDispatcher,
  LogIndex,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import {
  formatAddress,
  type FromWorkerBody,
  type FromWorkerMessage,
  isToWorkerMessage,
  type Network,
  type ToWorkerMessage,
} from '@cranberryturn/wire';

import { WorkerCoordination } from './coordination/worker-coordination.js';
import { DepartureStep, decideDeparture } from './decide-departure.js';
import {
  type DispatcherEvents,
  type DispatcherSession,
  listenToDispatcher,
} from './dispatcher-session.js';
import { SessionPhase } from './session-phase.js';

/** Number of dispatchers that one sidecar holds sessions with. */
export const maximumSessions = 8;

/** A dispatcher that is neither listed nor connected is still dialled for this long. */
const unlistedRetentionMilliseconds: Milliseconds = 30_000;
/** Without any connected dispatcher for this long, the seeds are dialled again. */
const isolationMilliseconds: Milliseconds = 5_000;
const checkIntervalMilliseconds: Milliseconds = 500;

/** A list of dispatchers; without a version when an earlier version of the program sent it. */
type ListedDispatchers = Pick<DispatcherList, 'dispatchers'> &
  Partial<Pick<DispatcherList, 'version'>>;

/** Dependencies and event handlers of the sessions. */
export interface DispatcherSessionsOptions extends DispatcherEvents {
  /** Name of this sidecar, on which its choice of dispatchers depends. */
  readonly name: string;
  readonly network: Network;
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  /** Sends a message with the load of the worker. */
  readonly sendReport: (
    session: DispatcherSession,
    body: FromWorkerBody,
  ) => void;
}

interface DialledDispatcher {
  readonly address: NetworkAddress;
  readonly dialer: SessionDialer<FromWorkerMessage, ToWorkerMessage>;
  session: DispatcherSession | undefined;
  lastListedAt: Milliseconds;
  /** When the current phase of the departure began; undefined while the session is kept. */
  departureStepAt: Milliseconds | undefined;
}

/** The sessions of one sidecar with dispatchers. */
export class DispatcherSessions {
  /** Chooses the dispatcher that coordinates the worker. */
  readonly coordination: WorkerCoordination;
  readonly #options: DispatcherSessionsOptions;
  readonly #dispatchers = new Map<string, DialledDispatcher>();
  readonly #checkTimer: TimerSubscription;
  #seeds: readonly NetworkAddress[];
  #listVersion: LogIndex = 0;
  /** Addresses of the chosen dispatchers; empty before the first list. */
  #chosen: ReadonlyMap<string, NetworkAddress> = new Map();
  #listed: ReadonlySet<string> = new Set();
  #chosenAt: Milliseconds;
  #lastConnectedAt: Milliseconds;

  constructor(options: DispatcherSessionsOptions) {
    this.#options = options;
    this.coordination = new WorkerCoordination({
      ...options,
      listConnected: () => this.listConnected(),
      send: options.sendReport,
    });
    this.#seeds = options.seeds;
    this.#chosenAt = options.timers.now();
    this.#lastConnectedAt = options.timers.now();
    for (const seed of options.seeds) this.#dial(seed);
    this.#checkTimer = options.timers.every(checkIntervalMilliseconds, () => {
      this.#checkSessions();
    });
  }

  /** Version of the latest list of dispatchers; 0 before the first. */
  get listVersion(): LogIndex {
    return this.#listVersion;
  }

  /** Sessions with a live connection. */
  listConnected(): readonly DispatcherSession[] {
    return [...this.#dispatchers.values()].flatMap(({ session }) =>
      session?.isConnected === true ? [session] : [],
    );
  }

  findSession(dispatcherId: DispatcherId): DispatcherSession | undefined {
    for (const { session } of this.#dispatchers.values()) {
      if (session?.dispatcherId === dispatcherId) return session;
    }
    return undefined;
  }

  /** Chooses among the listed dispatchers and dials those that are new. An older list changes nothing. */
  updateDispatchers({ version = 0, dispatchers }: ListedDispatchers): void {
    if (version < this.#listVersion) return;
    const { name, timers, logger } = this.#options;
    this.#listVersion = version;
    this.#listed = new Set(dispatchers.map(formatDispatcher));
    this.coordination.updateDispatchers(dispatchers);
    const { preferred } = this.coordination;
    const coordinators = preferred === undefined ? [] : [preferred];
    const others = chooseSessionPeers(
      name,
      dispatchers.filter(one => one !== preferred),
      maximumSessions - coordinators.length,
      ({ dispatcherId }) => dispatcherId,
    );
    const chosen = [...coordinators, ...others];
    this.#chosen = new Map(
      chosen.map(({ address }) => [formatAddress(address), address]),
    );
    this.#chosenAt = timers.now();
    logger.info('dispatchers chosen', {
      listVersion: version,
      listed: dispatchers.length,
      chosen: chosen.map(({ dispatcherId }) => dispatcherId),
    });
    this.#checkSessions();
  }

  /** Replaces the dispatchers to dial while no other is connected. */
  changeSeeds(seeds: readonly NetworkAddress[]): void {
    this.#seeds = seeds;
  }

  close(): void {
    this.#checkTimer.cancel();
    for (const { dialer } of this.#dispatchers.values()) dialer.close();
    this.#dispatchers.clear();
  }

  #checkSessions(): void {
    const now = this.#options.timers.now();
    if (this.listConnected().length > 0) this.#lastConnectedAt = now;
    if (now - this.#lastConnectedAt >= isolationMilliseconds) this.#dialSeeds();
    // A dispatcher that is chosen again while its session ends is dialled once that has ended.
    for (const [key, address] of this.#chosen) {
      if (!this.#dispatchers.has(key)) this.#dial(address);
    }
    const connectedChosen = this.#countConnectedChosen();
    for (const [key, dispatcher] of this.#dispatchers) {
      if (this.#isForgotten(key, dispatcher, now)) {
        this.#close(key, dispatcher);
        continue;
      }
      this.#advanceDeparture(key, dispatcher, connectedChosen);
    }
    this.coordination.check();
  }

  /** Starts over from the seeds. Any list counts then, as the state of control may have been lost. */
  #dialSeeds(): void {
    this.#listVersion = 0;
    for (const seed of this.#seeds) {
      if (!this.#dispatchers.has(formatAddress(seed))) this.#dial(seed);
    }
  }

  #countConnectedChosen(): number {
    let connected = 0;
    for (const key of this.#chosen.keys()) {
      if (this.#dispatchers.get(key)?.session?.isConnected === true)
        connected += 1;
    }
    return connected;
  }

  /** Whether a dispatcher is neither listed nor connected for a long time. */
  #isForgotten(
    key: string,
    dispatcher: DialledDispatcher,
    now: Milliseconds,
  ): boolean {
    const isKept =
      this.#listed.has(key) ||
      this.#seeds.some(seed => formatAddress(seed) === key) ||
      dispatcher.session?.isConnected === true;
    if (isKept) dispatcher.lastListedAt = now;
    return now - dispatcher.lastListedAt >= unlistedRetentionMilliseconds;
  }

  #advanceDeparture(
    key: string,
    dispatcher: DialledDispatcher,
    connectedChosen: number,
  ): void {
    const { timers, hasWorkFor } = this.#options;
    const { session, departureStepAt } = dispatcher;
    const now = timers.now();
    const step = decideDeparture({
      phase: session?.phase ?? SessionPhase.Open,
      hasSession: session !== undefined,
      isConnected: session?.isConnected === true,
      isSuperfluous: this.#listed.has(key) && !this.#chosen.has(key),
      chosen: this.#chosen.size,
      connectedChosen,
      sinceChoiceMilliseconds: now - this.#chosenAt,
      sinceStepMilliseconds: now - (departureStepAt ?? now),
      hasWork: session !== undefined && hasWorkFor(session.dispatcherId),
    });
    switch (step) {
      case DepartureStep.Keep:
        return;
      case DepartureStep.Stay:
        this.#enterPhase(dispatcher, SessionPhase.Open);
        return;
      case DepartureStep.RefuseRuns:
        this.#enterPhase(dispatcher, SessionPhase.Leaving);
        return;
      case DepartureStep.TakeLeave:
        this.#enterPhase(dispatcher, SessionPhase.Left);
        return;
      case DepartureStep.Close:
        this.#close(key, dispatcher);
        return;
    }
  }

  #enterPhase(dispatcher: DialledDispatcher, phase: SessionPhase): void {
    const { timers, logger, phaseChanged } = this.#options;
    const { session } = dispatcher;
    dispatcher.departureStepAt = timers.now();
    if (session === undefined) return;
    session.phase = phase;
    logger.info('session with dispatcher changes its phase', {
      dispatcherId: session.dispatcherId,
      phase,
      listVersion: this.#listVersion,
    });
    phaseChanged(session);
  }

  #close(key: string, dispatcher: DialledDispatcher): void {
    this.#dispatchers.delete(key);
    dispatcher.dialer.close();
  }

  #dial(address: NetworkAddress): void {
    const { network, timers, random, times } = this.#options;
    const dispatcher: {
      -readonly [Key in keyof DialledDispatcher]?: DialledDispatcher[Key];
    } = {
      address,
      session: undefined,
      lastListedAt: timers.now(),
      departureStepAt: undefined,
    };
    dispatcher.dialer = openSession<FromWorkerMessage, ToWorkerMessage>({
      network,
      address,
      timers,
      random,
      times,
      isMessage: isToWorkerMessage,
      startSession: (peer, send) => {
        const session: DispatcherSession = {
          dispatcherId: peer.name,
          incarnation: peer.incarnation,
          send,
          isConnected: false,
          connectedAt: timers.now(),
          phase: SessionPhase.Open,
          lastSentAt: -Infinity,
          orders: 0,
        };
        dispatcher.session = session;
        return listenToDispatcher(session, this.#options, () => {
          this.#close(formatAddress(address), dispatcher as DialledDispatcher);
        });
      },
    });
    this.#dispatchers.set(
      formatAddress(address),
      dispatcher as DialledDispatcher,
    );
  }
}

function formatDispatcher({ address }: KnownDispatcher): string {
  return formatAddress(address);
}
