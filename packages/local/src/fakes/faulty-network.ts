/** A network whose connections a test can hold up or cut. */
import {
  type Connection,
  type Network,
  wrapConnections,
} from '@cranberryturn/wire';

/** A network with its faults. */
export interface FaultyNetwork {
  readonly network: Network;
  /** Keeps back everything that is sent from now on. */
  hold(): void;
  /** Sends what was kept back, and everything from now on. */
  release(): void;
  /** Ends all connections. */
  cut(): void;
}

/** Puts faults between a process and its network. */
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
