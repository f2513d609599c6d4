/** Remote calls between dispatchers. */
import { ConnectionError, type CranberryError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  type Connection,
  dialWithin,
  type DispatcherCall,
  type DispatcherReply,
  formatAddress,
  isDispatcherCall,
  isDispatcherReply,
  type Network,
  type RemoteCalls,
  requireShape,
  serveRemoteCalls,
} from '@cranberryturn/wire';
import { err, type Result, ResultAsync } from 'neverthrow';

const dialTimeoutMilliseconds: Milliseconds = 1_000;

/** Dependencies of the links. */
export interface DispatcherLinksOptions {
  readonly network: Network;
  readonly timers: TimerService;
  /** Handles a call from another dispatcher. */
  readonly handleCall: (call: DispatcherCall) => Promise<DispatcherReply>;
}

/** Connections between this dispatcher and others, dialled on the first call. */
export class DispatcherLinks {
  readonly #options: DispatcherLinksOptions;
  readonly #callsByAddress = new Map<
    string,
    Promise<RemoteCalls | undefined>
  >();
  readonly #openConnections = new Set<Connection>();

  constructor(options: DispatcherLinksOptions) {
    this.#options = options;
  }

  /** Calls another dispatcher. After an error, the call may still have been executed. */
  call(
    address: NetworkAddress,
    call: DispatcherCall,
    timeoutMilliseconds: Milliseconds,
  ): ResultAsync<DispatcherReply, CranberryError> {
    return new ResultAsync(this.#call(address, call, timeoutMilliseconds));
  }

  /** Serves calls over a connection, whichever side dialled. */
  serve(connection: Connection): RemoteCalls {
    this.#openConnections.add(connection);
    const calls = serveRemoteCalls(connection, this.#options.timers, {
      handleCall: async body =>
        this.#options.handleCall(
          requireShape<DispatcherCall>(
            body,
            isDispatcherCall,
            connection.peer.name,
          ),
        ),
    });
    void calls.ended.then(() => this.#openConnections.delete(connection));
    return calls;
  }

  close(): void {
    for (const connection of this.#openConnections) connection.close();
  }

  async #call(
    address: NetworkAddress,
    call: DispatcherCall,
    timeoutMilliseconds: Milliseconds,
  ): Promise<Result<DispatcherReply, CranberryError>> {
    const name = formatAddress(address);
    const calls = await this.#connect(name, address);
    if (calls === undefined) {
      return err(
        new ConnectionError(`The dispatcher at ${name} cannot be reached.`, {
          step: 'call dispatcher',
          peer: name,
        }),
      );
    }
    const reply = await calls.call<DispatcherReply>(
      call,
      timeoutMilliseconds,
      isDispatcherReply,
    );
    // A connection without a reply may be dead; closing it makes the next call dial again.
    if (reply.isErr()) calls.connection.close();
    return reply;
  }

  #connect(
    name: string,
    address: NetworkAddress,
  ): Promise<RemoteCalls | undefined> {
    const known = this.#callsByAddress.get(name);
    if (known !== undefined) return known;
    const link = this.#dial(address).then(calls => {
      if (calls === undefined) this.#callsByAddress.delete(name);
      void calls?.ended.then(() => this.#callsByAddress.delete(name));
      return calls;
    });
    this.#callsByAddress.set(name, link);
    return link;
  }

  async #dial(address: NetworkAddress): Promise<RemoteCalls | undefined> {
    const connection = await dialWithin(
      this.#options.network,
      this.#options.timers,
      address,
      dialTimeoutMilliseconds,
    );
    return connection.isOk() ? this.serve(connection.value) : undefined;
  }
}
