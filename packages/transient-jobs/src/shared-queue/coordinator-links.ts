/**
 * The sessions of one dispatcher with those that coordinate workers, which it dials when it first needs one, and with
 * those whose requests it answers. Messages to this dispatcher itself take no session.
 */
import type { Logger } from '@cranberryturn/logger';
import type { RandomSource } from '@cranberryturn/random';
import {
  acceptSessions,
  openSession,
  type SessionDialer,
  type SessionTimes,
} from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type { DispatcherId, DispatcherList } from '@cranberryturn/types';
import {
  type Connection,
  formatAddress,
  type FromCoordinatorMessage,
  isFromCoordinatorMessage,
  isToCoordinatorMessage,
  type Network,
  type ToCoordinatorMessage,
} from '@cranberryturn/wire';

/** Dependencies and event handlers of the links. */
export interface CoordinatorLinksOptions {
  readonly dispatcherId: DispatcherId;
  /** Dials other dispatchers; without it, only this dispatcher itself is reached. */
  readonly network: Network | undefined;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly listDispatchers: () => DispatcherList;
  /** A dispatcher has sent a message to the coordinator at this one. */
  readonly requested: (
    dispatcher: DispatcherId,
    message: ToCoordinatorMessage,
  ) => void;
  /** The session with a dispatcher has ended, and with it its requests. */
  readonly requesterLost: (dispatcher: DispatcherId) => void;
  readonly answered: (
    coordinator: DispatcherId,
    message: FromCoordinatorMessage,
  ) => void;
  /** A coordinator is silent or its connection has ended. */
  readonly coordinatorLost: (coordinator: DispatcherId) => void;
}

interface CoordinatorLink {
  readonly address: string;
  readonly dialer: SessionDialer<ToCoordinatorMessage, FromCoordinatorMessage>;
  isConnected: boolean;
}

/** The links of one dispatcher. */
export class CoordinatorLinks {
  readonly #options: CoordinatorLinksOptions;
  readonly #links = new Map<DispatcherId, CoordinatorLink>();
  readonly #requesters = new Map<
    DispatcherId,
    (message: FromCoordinatorMessage) => void
  >();
  readonly #acceptor;

  constructor(options: CoordinatorLinksOptions) {
    this.#options = options;
    this.#acceptor = acceptSessions<
      FromCoordinatorMessage,
      ToCoordinatorMessage
    >({
      timers: options.timers,
      times: options.times,
      isMessage: isToCoordinatorMessage,
      startSession: ({ name }, send) => {
        this.#requesters.set(name, send);
        return {
          messageReceived: message => {
            options.requested(name, message);
          },
          connected: () => undefined,
          suspected: () => undefined,
          ended: () => {
            if (this.#requesters.get(name) !== send) return;
            this.#requesters.delete(name);
            options.requesterLost(name);
          },
        };
      },
    });
  }

  /** Serves the connection of another dispatcher until it ends. */
  accept(connection: Connection): void {
    void this.#acceptor.acceptConnection(connection);
  }

  /** Dials a coordinator that is not dialled yet. */
  prepare(coordinator: DispatcherId): void {
    if (!this.#links.has(coordinator)) this.#findLink(coordinator);
  }

  /** Whether a coordinator can be reached now. */
  isConnected(coordinator: DispatcherId): boolean {
    if (coordinator === this.#options.dispatcherId) return true;
    return this.#findLink(coordinator)?.isConnected === true;
  }

  sendToCoordinator(
    coordinator: DispatcherId,
    message: ToCoordinatorMessage,
  ): void {
    const { dispatcherId, requested } = this.#options;
    if (coordinator === dispatcherId) requested(dispatcherId, message);
    else this.#links.get(coordinator)?.dialer.current()?.send(message);
  }

  sendToRequester(
    dispatcher: DispatcherId,
    message: FromCoordinatorMessage,
  ): void {
    const { dispatcherId, answered } = this.#options;
    if (dispatcher === dispatcherId) answered(dispatcherId, message);
    else this.#requesters.get(dispatcher)?.(message);
  }

  close(): void {
    for (const { dialer } of this.#links.values()) dialer.close();
    this.#links.clear();
    this.#acceptor.close();
  }

  #findLink(coordinator: DispatcherId): CoordinatorLink | undefined {
    const { listDispatchers, network } = this.#options;
    const listed = listDispatchers().dispatchers.find(
      one => one.dispatcherId === coordinator,
    );
    const known = this.#links.get(coordinator);
    if (listed === undefined || network === undefined) return known;
    const address = formatAddress(listed.address);
    if (known?.address === address) return known;
    known?.dialer.close();
    const link = this.#dial(coordinator, network, listed.address);
    this.#links.set(coordinator, link);
    return link;
  }

  #dial(
    coordinator: DispatcherId,
    network: Network,
    address: Parameters<typeof formatAddress>[0],
  ): CoordinatorLink {
    const { timers, random, times, logger, answered } = this.#options;
    const { coordinatorLost } = this.#options;
    const setConnected = (isConnected: boolean): void => {
      link.isConnected = isConnected;
      logger.info('link to coordinator', { coordinator, isConnected });
      if (!isConnected) coordinatorLost(coordinator);
    };
    const dialer = openSession<ToCoordinatorMessage, FromCoordinatorMessage>({
      network,
      address,
      timers,
      random,
      times,
      isMessage: isFromCoordinatorMessage,
      accepts: ({ name }) => name === coordinator,
      startSession: () => ({
        messageReceived: message => {
          answered(coordinator, message);
        },
        connected: () => {
          setConnected(true);
        },
        suspected: () => {
          setConnected(false);
        },
        ended: () => {
          setConnected(false);
        },
      }),
    });
    const link: CoordinatorLink = {
      address: formatAddress(address),
      dialer,
      isConnected: false,
    };
    return link;
  }
}
