/** The sessions of one sidecar with all known dispatchers. Each session is reopened until its dispatcher is given up. */
import type { Logger } from '@cranberryturn/logger';
import type { RandomSource } from '@cranberryturn/random';
import {
  openSession,
  type SessionDialer,
  type SessionListener,
  type SessionTimes,
} from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import {
  formatAddress,
  type FromWorkerMessage,
  type Network,
  type ToWorkerMessage,
} from '@cranberryturn/wire';

/** A dispatcher that is neither listed nor connected is still dialled for this long. */
const unlistedRetentionMilliseconds: Milliseconds = 30_000;
/** Time to replace a lost connection before the runs of its dispatcher are stopped. */
const reconnectGraceMilliseconds: Milliseconds = 300;

/** The session with one dispatcher. */
export interface DispatcherSession {
  readonly dispatcherId: DispatcherId;
  readonly send: (message: FromWorkerMessage) => void;
  /** Whether the session has a live connection. */
  isConnected: boolean;
  lastSentAt: Milliseconds;
  /** Number of placement orders received in this session. */
  orders: number;
}

/** Session events, and the query that the sessions need in return. */
export interface DispatcherEvents {
  readonly sessionOpened: (session: DispatcherSession) => void;
  readonly received: (
    session: DispatcherSession,
    message: ToWorkerMessage,
  ) => void;
  /** The dispatcher was restarted, is gone, or did not reconnect in time. May be called more than once for a session. */
  readonly sessionLost: (session: DispatcherSession) => void;
  readonly hasWorkFor: (dispatcher: DispatcherId) => boolean;
}

/** Dependencies and event handlers of the sessions. */
export interface DispatcherSessionsOptions extends DispatcherEvents {
  readonly network: Network;
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
}

interface DialledDispatcher {
  readonly address: NetworkAddress;
  readonly dialer: SessionDialer<FromWorkerMessage, ToWorkerMessage>;
  session: DispatcherSession | undefined;
  lastListedAt: Milliseconds;
}

/** The sessions of one sidecar with dispatchers. */
export class DispatcherSessions {
  readonly #options: DispatcherSessionsOptions;
  readonly #dispatchers = new Map<string, DialledDispatcher>();
  readonly #seeds: ReadonlySet<string>;

  constructor(options: DispatcherSessionsOptions) {
    this.#options = options;
    this.#seeds = new Set(options.seeds.map(formatAddress));
    for (const seed of options.seeds) this.#dial(seed);
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

  /** Dials newly listed dispatchers, and closes sessions with those that have not been listed for long. Seeds stay. */
  updateDispatchers(addresses: readonly NetworkAddress[]): void {
    const now = this.#options.timers.now();
    for (const address of addresses) {
      const known = this.#dispatchers.get(formatAddress(address));
      if (known === undefined) this.#dial(address);
      else known.lastListedAt = now;
    }
    for (const [key, dispatcher] of this.#dispatchers) {
      const isKept =
        this.#seeds.has(key) ||
        dispatcher.session?.isConnected === true ||
        now - dispatcher.lastListedAt < unlistedRetentionMilliseconds;
      if (isKept) continue;
      this.#dispatchers.delete(key);
      dispatcher.dialer.close();
    }
  }

  close(): void {
    for (const { dialer } of this.#dispatchers.values()) dialer.close();
    this.#dispatchers.clear();
  }

  #dial(address: NetworkAddress): void {
    const { network, timers, random, times } = this.#options;
    const dispatcher: {
      -readonly [Key in keyof DialledDispatcher]?: DialledDispatcher[Key];
    } = {
      address,
      session: undefined,
      lastListedAt: timers.now(),
    };
    dispatcher.dialer = openSession<FromWorkerMessage, ToWorkerMessage>({
      network,
      address,
      timers,
      random,
      times,
      startSession: (peer, send) => {
        const session: DispatcherSession = {
          dispatcherId: peer.name,
          send,
          isConnected: false,
          lastSentAt: -Infinity,
          orders: 0,
        };
        dispatcher.session = session;
        return this.#createListener(session);
      },
    });
    this.#dispatchers.set(
      formatAddress(address),
      dispatcher as DialledDispatcher,
    );
  }

  #createListener(
    session: DispatcherSession,
  ): SessionListener<ToWorkerMessage> {
    const { timers, logger, received, sessionOpened, sessionLost, hasWorkFor } =
      this.#options;
    const { dispatcherId } = session;
    return {
      messageReceived: message => {
        received(session, message);
      },
      hasWork: () => hasWorkFor(dispatcherId),
      connected: () => {
        session.isConnected = true;
        logger.info('dispatcher connected', { dispatcherId });
        sessionOpened(session);
      },
      suspected: () => {
        session.isConnected = false;
        logger.warn('dispatcher not heard', { dispatcherId });
        timers.after(reconnectGraceMilliseconds, () => {
          if (!session.isConnected) sessionLost(session);
        });
      },
      ended: reason => {
        session.isConnected = false;
        logger.info('session with dispatcher ended', { dispatcherId, reason });
        sessionLost(session);
      },
    };
  }
}
