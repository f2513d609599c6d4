/** A network whose connections a test can delay or cut. */
import {
  type Connection,
  type Network,
  wrapConnections,
} from '@cranberryturn/wire';

/** A network with fault injection. */
export interface FaultyNetwork {
  readonly network: Network;
  /** Buffers all frames that are sent from now on. */
  hold(): void;
  /** Sends the buffered frames and ends the buffering. */
  release(): void;
  /** Closes all connections. */
  cut(): void;
}

/** Wraps the network of a process for fault injection. */
export function createFaultyNetwork(network: Network): FaultyNetwork {
  const connections = new Set<Connection>();
  const heldSends: (() => void)[] = [];
  let isHeld = false;

  const wrap = (connection: Connection): Connection => {
    connections.add(connection);
    return {
      peer: connection.peer,
      send: frame => {
        const send = (): void => {
          connection.send(frame);
        };
        if (isHeld) heldSends.push(send);
        else send();
      },
      receive: () => connection.receive(),
      close: () => {
        connections.delete(connection);
        connection.close();
      },
    };
  };

  return {
    network: wrapConnections(network, wrap),
    hold: () => {
      isHeld = true;
    },
    release: () => {
      isHeld = false;
      for (const send of heldSends.splice(0)) send();
    },
    cut: () => {
      for (const connection of connections) connection.close();
    },
  };
}
