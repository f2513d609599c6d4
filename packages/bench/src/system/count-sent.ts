/** Counts the frames that the processes of one role send, and can make connections silent. */
import {
  type Connection,
  type Network,
  wrapConnections,
} from '@cranberryturn/wire';

/** Frames and bytes sent so far. Handshakes are left out. */
export interface SentTraffic {
  frames: number;
  bytes: number;
}

/** A network whose sent frames are counted. */
export interface CountedSentNetwork {
  readonly network: Network;
  /** Makes all open connections silent in both directions; neither end is told. */
  silence(): void;
}

interface Link {
  silent: boolean;
}

/** Wraps a network so that each frame sent is added to `traffic`. */
export function countSent(
  network: Network,
  traffic: SentTraffic,
): CountedSentNetwork {
  const links = new Set<Link>();

  const wrap = (connection: Connection): Connection => {
    const link: Link = { silent: false };
    links.add(link);
    return {
      peer: connection.peer,
      send: frame => {
        if (link.silent) return;
        traffic.frames += 1;
        traffic.bytes += frame.byteLength;
        connection.send(frame);
      },
      receive: () => readUntilSilent(connection, link),
      close: () => {
        links.delete(link);
        connection.close();
      },
    };
  };

  return {
    network: wrapConnections(network, wrap),
    silence: () => {
      for (const link of links) link.silent = true;
    },
  };
}

async function* readUntilSilent(
  connection: Connection,
  link: Link,
): AsyncGenerator<Uint8Array> {
  for await (const frame of connection.receive()) {
    if (!link.silent) yield frame;
  }
}
