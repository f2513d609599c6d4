/** A network in memory between named processes, with injected partitions and crashes. */
import { ConnectionError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import {
  createMemoryNetwork,
  type Listener,
  type Network,
  type PeerIdentity,
} from '@cranberryturn/wire';
import { errAsync, ResultAsync } from 'neverthrow';

/** The network and its fault injection. */
export interface FaultyNetwork {
  join(self: PeerIdentity): Network;
  /** Partitions two processes: frames are dropped silently and dials never complete. */
  cut(left: string, right: string): void;
  /** Ends all partitions. Connections that were open during a partition stay silent permanently. */
  heal(): void;
  /** Kills a process: its connections end and its port refuses new ones. */
  kill(name: string): Promise<void>;
  /** Frames delivered so far. */
  framesDelivered(): number;
}

/** Creates a network that starts without faults. */
export function createFaultyNetwork(
  timers: TimerService,
  delayMilliseconds: Milliseconds,
): FaultyNetwork {
  const memory = createMemoryNetwork(timers, delayMilliseconds);
  const owners = new Map<number, string>();
  const listeners = new Map<string, Listener>();
  /** The latest run of each process. A killed run cannot open connections any more. */
  const runs = new Map<string, { isKilled: boolean }>();
  const cuts = new Set<string>();

  const isCut = (left: string, right: string): boolean =>
    cuts.has(composePair(left, right));

  const join = (self: PeerIdentity): Network => {
    const network = memory.join(self);
    const run = { isKilled: false };
    runs.set(self.name, run);
    return {
      dial: address => {
        const owner = owners.get(address.port) ?? '';
        if (run.isKilled) return errAsync(composeRefusedDial(owner));
        if (isCut(self.name, owner)) return waitForever();
        return network.dial(address);
      },
      listen: (address, handler) =>
        network.listen(address, handler).map(listener => {
          owners.set(listener.address.port, self.name);
          listeners.set(self.name, listener);
          return listener;
        }),
    };
  };

  return {
    join,
    cut: (left, right) => {
      cuts.add(composePair(left, right));
      for (const connection of memory.connections) {
        if (isCut(connection.from, connection.to)) connection.isSilent = true;
      }
    },
    heal: () => {
      cuts.clear();
    },
    kill: async name => {
      const run = runs.get(name);
      if (run !== undefined) run.isKilled = true;
      await listeners.get(name)?.close();
      for (const connection of memory.connections) {
        if (connection.from === name || connection.to === name) {
          connection.disconnect();
        }
      }
    },
    framesDelivered: memory.countDeliveredFrames,
  };
}

function composePair(left: string, right: string): string {
  return [left, right].sort().join(' ');
}

function composeRefusedDial(peer: string): ConnectionError {
  return new ConnectionError(`No connection to ${peer}.`, {
    step: 'dial',
    peer,
  });
}

function waitForever(): ResultAsync<never, never> {
  return new ResultAsync(new Promise<never>(() => undefined));
}
