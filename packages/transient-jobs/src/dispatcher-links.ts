/**
 * The sessions of one dispatcher with others that it requests something from, which it dials when it first needs one,
 * and with those whose requests it answers. Messages to this dispatcher itself take no session.
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
  type DispatcherAnswer,
  type DispatcherRequest,
  formatAddress,
  isDispatcherAnswer,
  isDispatcherRequest,
  type Network,
} from '@cranberryturn/wire';

/** Dependencies and event handlers of the links. */
export interface DispatcherLinksOptions {
  readonly dispatcherId: DispatcherId;
  /** Dials other dispatchers; without it, only this dispatcher itself is reached. */
  readonly network: Network | undefined;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly listDispatchers: () => DispatcherList;
  readonly requested: (
    dispatcher: DispatcherId,
    message: DispatcherRequest,
  ) => void;
  /** The session with a dispatcher has ended, and with it its requests. */
  readonly requesterLost: (dispatcher: DispatcherId) => void;
  readonly answered: (
    dispatcher: DispatcherId,
    message: DispatcherAnswer,
  ) => void;
  /** A dispatcher that was dialled can be reached. */
  readonly connected: (dispatcher: DispatcherId) => void;
  /** A dispatcher that was dialled is silent, or its connection has ended. */
  readonly disconnected: (dispatcher: DispatcherId) => void;
}

interface DispatcherLink {
  readonly address: string;
  readonly dialer: SessionDialer<DispatcherRequest, DispatcherAnswer>;
  isConnected: boolean;
}

/** The links of one dispatcher. */
export class DispatcherLinks {
  readonly #options: DispatcherLinksOptions;
  readonly #links = new Map<DispatcherId, DispatcherLink>();
  readonly #requesters = new Map<
    DispatcherId,
    (message: DispatcherAnswer) => void
  >();
  readonly #acceptor;

  constructor(options: DispatcherLinksOptions) {
    this.#options = options;
    this.#acceptor = acceptSessions<DispatcherAnswer, DispatcherRequest>({
      timers: options.timers,
      times: options.times,
      isMessage: isDispatcherRequest,
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

  /** Dials a dispatcher that is not dialled yet. */
  prepare(dispatcher: DispatcherId): void {
    if (!this.#links.has(dispatcher)) this.#findLink(dispatcher);
  }

  /** Whether a dispatcher can be reached now; one that is not dialled yet is dialled. */
  isConnected(dispatcher: DispatcherId): boolean {
    if (dispatcher === this.#options.dispatcherId) return true;
    return this.#findLink(dispatcher)?.isConnected === true;
  }

  sendRequest(dispatcher: DispatcherId, message: DispatcherRequest): void {
    const { dispatcherId, requested } = this.#options;
    if (dispatcher === dispatcherId) requested(dispatcherId, message);
    else this.#links.get(dispatcher)?.dialer.current()?.send(message);
  }

  sendAnswer(dispatcher: DispatcherId, message: DispatcherAnswer): void {
    const { dispatcherId, answered } = this.#options;
    if (dispatcher === dispatcherId) answered(dispatcherId, message);
    else this.#requesters.get(dispatcher)?.(message);
  }

  close(): void {
    for (const { dialer } of this.#links.values()) dialer.close();
    this.#links.clear();
    this.#acceptor.close();
  }

  #findLink(dispatcher: DispatcherId): DispatcherLink | undefined {
    const { listDispatchers, network } = this.#options;
    const listed = listDispatchers().dispatchers.find(
      one => one.dispatcherId === dispatcher,
    );
    const known = this.#links.get(dispatcher);
    if (listed === undefined || network === undefined) return known;
    const address = formatAddress(listed.address);
    if (known?.address === address) return known;
    known?.dialer.close();
    const link = this.#dial(dispatcher, network, listed.address);
    this.#links.set(dispatcher, link);
    return link;
  }

  #dial(
    dispatcher: DispatcherId,
    network: Network,
    address: Parameters<typeof formatAddress>[0],
  ): DispatcherLink {
    const { timers, random, times, logger, answered } = this.#options;
    const { connected, disconnected } = this.#options;
    const setConnected = (isConnected: boolean): void => {
      link.isConnected = isConnected;
      logger.info('link to dispatcher', { dispatcher, isConnected });
      if (isConnected) connected(dispatcher);
      else disconnected(dispatcher);
    };
    const dialer = openSession<DispatcherRequest, DispatcherAnswer>({
      network,
      address,
      timers,
      random,
      times,
      isMessage: isDispatcherAnswer,
      accepts: ({ name }) => name === dispatcher,
      startSession: () => ({
        messageReceived: message => {
          answered(dispatcher, message);
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
    const link: DispatcherLink = {
      address: formatAddress(address),
      dialer,
      isConnected: false,
    };
    return link;
  }
}
