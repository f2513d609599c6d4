/** The sessions of one sidecar with the dispatchers that it knows: one task keeps each of them. */
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

/** A dispatcher that is no longer listed and is not heard is dialled for this long. */
const keptUnlisted: Milliseconds = 30_000;
/** Time for a lost connection to be replaced before the runs of its dispatcher are stopped. */
const reconnectGrace: Milliseconds = 300;

/** One session as the gate uses it. */
export interface DispatcherSession {
  readonly dispatcherId: DispatcherId;
  readonly send: (message: FromWorkerMessage) => void;
  /** Whether a connection carries the session. */
  connected: boolean;
  /** When the last message was sent. */
  sentAt: Milliseconds;
  /** Orders to place runs that arrived. */
  orders: number;
}

/** What happens in sessions. */
export interface DispatcherEvents {
  readonly opened: (session: DispatcherSession) => void;
  readonly received: (
    session: DispatcherSession,
    message: ToWorkerMessage,
  ) => void;
  /** The dispatcher was restarted, is gone, or was not heard again in time. */
  readonly lost: (session: DispatcherSession) => void;
  readonly hasWorkFor: (dispatcher: DispatcherId) => boolean;
}

/** What the sessions need. */
export interface DispatcherSessionsOptions extends DispatcherEvents {
  readonly network: Network;
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
}

interface Dialled {
  readonly address: NetworkAddress;
  readonly dialer: SessionDialer<FromWorkerMessage, ToWorkerMessage>;
  session: DispatcherSession | undefined;
  listedAt: Milliseconds;
}

/** The sessions of one sidecar. */
export class DispatcherSessions {
  readonly #options: DispatcherSessionsOptions;
  readonly #dialled = new Map<string, Dialled>();
  readonly #seeds: ReadonlySet<string>;

  constructor(options: DispatcherSessionsOptions) {
    this.#options = options;
    this.#seeds = new Set(options.seeds.map(formatAddress));
    for (const seed of options.seeds) this.#dial(seed);
  }

  /** Sessions that a connection carries. */
  list(): readonly DispatcherSession[] {
    return [...this.#dialled.values()].flatMap(({ session }) =>
      session?.connected === true ? [session] : [],
    );
  }

  find(dispatcherId: DispatcherId): DispatcherSession | undefined {
    for (const { session } of this.#dialled.values()) {
      if (session?.dispatcherId === dispatcherId) return session;
    }
    return undefined;
  }

  /** Dials dispatchers that are listed, and leaves those that have long not been. */
  follow(addresses: readonly NetworkAddress[]): void {
    const now = this.#options.timers.now();
    for (const address of addresses) {
      const known = this.#dialled.get(formatAddress(address));
      if (known === undefined) this.#dial(address);
      else known.listedAt = now;
    }
    for (const [key, dialled] of this.#dialled) {
      const isKept =
        this.#seeds.has(key) ||
        dialled.session?.connected === true ||
        now - dialled.listedAt < keptUnlisted;
      if (isKept) continue;
      this.#dialled.delete(key);
      dialled.dialer.close();
    }
  }

  close(): void {
    for (const { dialer } of this.#dialled.values()) dialer.close();
    this.#dialled.clear();
  }

  #dial(address: NetworkAddress): void {
    const { network, timers, random, times } = this.#options;
    const dialled: { -readonly [Key in keyof Dialled]?: Dialled[Key] } = {
      address,
      session: undefined,
      listedAt: timers.now(),
    };
    dialled.dialer = openSession<FromWorkerMessage, ToWorkerMessage>({
      network,
      address,
      timers,
      random,
      times,
      startSession: (peer, send) => {
        const session: DispatcherSession = {
          dispatcherId: peer.name,
          send,
          connected: false,
          sentAt: -Infinity,
          orders: 0,
        };
        dialled.session = session;
        return this.#listen(session);
      },
    });
    this.#dialled.set(formatAddress(address), dialled as Dialled);
  }

  #listen(session: DispatcherSession): SessionListener<ToWorkerMessage> {
    const { timers, logger, received, opened, lost, hasWorkFor } =
      this.#options;
    const { dispatcherId } = session;
    return {
      messageReceived: message => {
        received(session, message);
      },
      hasWork: () => hasWorkFor(dispatcherId),
      connected: () => {
        session.connected = true;
        logger.info('dispatcher connected', { dispatcherId });
        opened(session);
      },
      suspected: () => {
        session.connected = false;
        logger.warn('dispatcher not heard', { dispatcherId });
        timers.after(reconnectGrace, () => {
          if (!session.connected) lost(session);
        });
      },
      ended: reason => {
        session.connected = false;
        logger.info('session with dispatcher ended', { dispatcherId, reason });
        lost(session);
      },
    };
  }
}
