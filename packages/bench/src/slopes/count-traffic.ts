/** Counts the frames and bytes that pass through a network. */
import {
  type Connection,
  type Network,
  wrapConnections,
} from '@cranberryturn/wire';

import type { TrafficCount } from './reading.js';

/** A network with a count of its traffic; sent and received frames are added up. */
export interface CountedNetwork {
  readonly network: Network;
  count(): TrafficCount;
}

/** Wraps a network to count the frames of its connections. Handshakes are not counted. */
export function countTraffic(network: Network): CountedNetwork {
  let messages = 0;
  let bytes = 0;

  const add = (frame: Uint8Array): void => {
    messages += 1;
    bytes += frame.byteLength;
  };

  async function* read(connection: Connection): AsyncGenerator<Uint8Array> {
    for await (const frame of connection.receive()) {
      add(frame);
      yield frame;
    }
  }

  const wrap = (connection: Connection): Connection => ({
    peer: connection.peer,
    send: frame => {
      add(frame);
      connection.send(frame);
    },
    receive: () => read(connection),
    close: () => {
      connection.close();
    },
  });

  return {
    network: wrapConnections(network, wrap),
    count: () => ({ messages, bytes }),
  };
}
