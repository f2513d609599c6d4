/** A network whose connections pass through a wrapper, for counting and for faults. */
import type { Connection, Network } from './ports/connection.js';

/** Wraps each connection of a network, dialled or accepted. */
export function wrapConnections(
  network: Network,
  wrap: (connection: Connection) => Connection,
): Network {
  return {
    dial: address => network.dial(address).map(wrap),
    listen: (address, handler) =>
      network.listen(address, connection => {
        handler(wrap(connection));
      }),
  };
}
