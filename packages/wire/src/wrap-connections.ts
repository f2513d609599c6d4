/** Wraps the connections of a network, to count frames or inject faults. */
import type { Connection, Network } from './ports/connection.js';

/** Returns a network that passes each connection, dialled or accepted, through `wrap`. */
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
