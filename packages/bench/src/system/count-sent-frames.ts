/** Wraps a network to count the sent frames and to silence connections. */
import {
  type Connection,
  type Network,
  wrapConnections,
} from '@cranberryturn/wire';

/** Frames and bytes sent so far, without handshakes. */
export interface SentTraffic {
  frames: number;
  bytes: number;
}

/** A network that counts the frames sent on its connections. */
export interface CountingNetwork {
  readonly network: Network;
  /** Drops all further frames of the open connections in both directions, without closing them. */
  silenceConnections(): void;
}

interface ConnectionState {
  isSilent: boolean;
}

/** Wraps a network so that each frame sent is added to `traffic`. */
export function countSentFrames(
  network: Network,
  traffic: SentTraffic,
): CountingNetwork {
  const states = new Set<ConnectionState>();

  const wrap = (connection: Connection): Connection => {
    const link: ConnectionState = { isSilent: false };
    states.add(link);
    return {
      peer: connection.peer,
      send: frame => {
        if (link.isSilent) return;
        traffic.frames += 1;
        traffic.bytes += frame.byteLength;
        connection.send(frame);
      },
      receive: () => readUntilSilent(connection, link),
      close: () => {
        states.delete(link);
        connection.close();
      },
    };
  };

  return {
    network: wrapConnections(network, wrap),
    silenceConnections: () => {
      for (const link of states) link.isSilent = true;
    },
  };
}

async function* readUntilSilent(
  connection: Connection,
  link: ConnectionState,
): AsyncGenerator<Uint8Array> {
  for await (const frame of connection.receive()) {
    if (!link.isSilent) yield frame;
  }
}
