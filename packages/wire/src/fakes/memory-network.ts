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

/** What the peers of a process notice when it ends. */
export enum ProcessEnd {
  /** They read what it had sent, then the end of the connection. */
  Reset = 'reset',
  /** Its host has lost its power: they hear nothing more. */
  Silence = 'silence',
}

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
  /**
   * Ends the process of this name, which reads and sends nothing more. What it had sent is still delivered; its peer
   * reads the end of the connection after it, and after a delay.
   */
  endProcess(name: string, end: ProcessEnd, delay: Milliseconds): void;
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
  /** Ends a process: it listens no more, and its connections end as `MemoryConnection.endProcess` says. */
  endProcess(name: string, end: ProcessEnd, delay: Milliseconds): void;
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
    let isProcessEnded = false;
    const link: MemoryConnection = {
      from: self.name,
      to: listener.identity.name,
      isSilent: false,
      silentTowards: undefined,
      disconnect: () => {
        dialerQueue.end();
        listenerQueue.end();
      },
      endProcess: (name, end, delay) => {
        if (isProcessEnded) return;
        isProcessEnded = true;
        const [own, other] =
          name === self.name
            ? [dialerQueue, listenerQueue]
            : [listenerQueue, dialerQueue];
        own.end();
        if (end === ProcessEnd.Reset)
          timers.after(delayMilliseconds + delay, () => {
            if (!link.isSilent) other.end();
          });
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
    const opened = new Promise<Connection | undefined>(resolve => {
      timers.after(delayMilliseconds * 2, () => {
        const isListening = listeners.get(address.port) === listener;
        resolve(isListening ? connect(self, listener) : undefined);
      });
    });
    return ResultAsync.fromSafePromise(opened).andThen(connection =>
      connection === undefined ||
      closedPorts.has(address.port) ||
      isPartitioned()
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
    endProcess: (name, end, delay) => {
      for (const [port, { identity }] of listeners) {
        if (identity.name === name) listeners.delete(port);
      }
      for (const link of connections) {
        if (link.from === name || link.to === name)
          link.endProcess(name, end, delay);
      }
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
