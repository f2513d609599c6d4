/** A network in memory for tests, with faults that the test controls. */
import { ConnectionError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow';

import { formatAddress } from '../format-address.js';
import { FrameQueue } from '../frame-queue.js';
import type {
  Connection,
  ConnectionHandler,
  Network,
  PeerIdentity,
} from '../ports/connection.js';

/** One connection of a memory network, with its fault controls. */
export interface MemoryConnection {
  readonly from: string;
  readonly to: string;
  /** While true, frames in both directions are dropped and neither end notices. */
  isSilent: boolean;
  /** Frames to the process of this name are dropped, and neither end notices; undefined without such a fault. */
  silentTowards: string | undefined;
  /** Closes the connection at both ends. */
  disconnect(): void;
}

/** A network in memory with fault injection. */
export interface MemoryNetwork {
  /** Adds a process and returns its network. */
  join(self: PeerIdentity): Network;
  /** All connections ever opened, oldest first. */
  readonly connections: readonly MemoryConnection[];
  /** Ports that refuse new connections. */
  readonly closedPorts: Set<number>;
  /** Silences the open connections of two processes and refuses new ones between them. */
  partition(first: string, second: string): void;
  /** Lets two processes open new connections again; silent ones stay silent. */
  heal(first: string, second: string): void;
  /** Frames delivered so far. */
  countDeliveredFrames(): number;
}

interface MemoryListener {
  readonly identity: PeerIdentity;
  readonly handler: ConnectionHandler;
  readonly accepted: MemoryConnection[];
}

const firstEphemeralPort = 40_000;

/** Creates a network in memory with a fixed one-way delay. */
export function createMemoryNetwork(
  timers: TimerService,
  delayMilliseconds: Milliseconds = 0,
): MemoryNetwork {
  const listeners = new Map<number, MemoryListener>();
  const connections: MemoryConnection[] = [];
  const closedPorts = new Set<number>();
  const partitionedPairs = new Set<string>();
  let nextPort = firstEphemeralPort;
  let deliveredFrames = 0;

  const deliver = (
    link: MemoryConnection,
    receiver: string,
    queue: FrameQueue,
    frame: Uint8Array,
  ): void => {
    const isLost = (): boolean =>
      link.isSilent || link.silentTowards === receiver;
    if (isLost()) return;
    const copy = Uint8Array.from(frame);
    timers.after(delayMilliseconds, () => {
      if (isLost()) return;
      deliveredFrames += 1;
      queue.push(copy);
    });
  };

  const connect = (self: PeerIdentity, listener: MemoryListener) => {
    const dialerQueue = new FrameQueue();
    const listenerQueue = new FrameQueue();
    const link: MemoryConnection = {
      from: self.name,
      to: listener.identity.name,
      isSilent: false,
      silentTowards: undefined,
      disconnect: () => {
        dialerQueue.end();
        listenerQueue.end();
      },
    };
    connections.push(link);
    listener.accepted.push(link);
    const end = (
      peer: PeerIdentity,
      incoming: FrameQueue,
      outgoing: FrameQueue,
    ): Connection => ({
      peer,
      send: frame => {
        deliver(link, peer.name, outgoing, frame);
      },
      receive: () => incoming.read(),
      close: () => {
        incoming.end();
        if (!link.isSilent && link.silentTowards !== peer.name) outgoing.end();
      },
    });
    listener.handler(end(self, listenerQueue, dialerQueue));
    return end(listener.identity, dialerQueue, listenerQueue);
  };

  const dial = (self: PeerIdentity, address: NetworkAddress) => {
    const listener = listeners.get(address.port);
    if (listener === undefined || closedPorts.has(address.port)) {
      return errAsync(createDialError(address));
    }
    const isPartitioned = (): boolean =>
      partitionedPairs.has(composePairKey(self.name, listener.identity.name));
    if (isPartitioned()) return errAsync(createDialError(address));
    const opened = new Promise<Connection>(resolve => {
      timers.after(delayMilliseconds * 2, () => {
        resolve(connect(self, listener));
      });
    });
    return ResultAsync.fromSafePromise(opened).andThen(connection =>
      closedPorts.has(address.port) || isPartitioned()
        ? err(createDialError(address))
        : ok(connection),
    );
  };

  return {
    connections,
    closedPorts,
    partition: (first, second) => {
      partitionedPairs.add(composePairKey(first, second));
      for (const link of connections) {
        if (
          composePairKey(link.from, link.to) !== composePairKey(first, second)
        )
          continue;
        link.isSilent = true;
      }
    },
    heal: (first, second) => {
      partitionedPairs.delete(composePairKey(first, second));
    },
    countDeliveredFrames: () => deliveredFrames,
    join: self => ({
      dial: address => dial(self, address),
      listen: (address, handler) => {
        const port = address.port === 0 ? nextPort++ : address.port;
        const listener: MemoryListener = {
          identity: self,
          handler,
          accepted: [],
        };
        listeners.set(port, listener);
        return okAsync({
          address: { address: address.address, port },
          close: () => {
            listeners.delete(port);
            for (const link of listener.accepted) link.disconnect();
            return Promise.resolve();
          },
        });
      },
    }),
  };
}

/** Composes a key that is the same for both directions. */
function composePairKey(first: string, second: string): string {
  return [first, second].sort().join(' ');
}

function createDialError(address: NetworkAddress): ConnectionError {
  const name = formatAddress(address);
  return new ConnectionError(`No connection to ${name}.`, {
    step: 'dial',
    peer: name,
  });
}
