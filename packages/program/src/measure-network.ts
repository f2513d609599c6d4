/** Counts the messages and bytes that a process sends. */
import type { Metrics } from '@cranberryturn/metrics';
import {
  type Connection,
  type Network,
  wrapConnections,
} from '@cranberryturn/wire';

/** Wraps `network` so that each sent message is counted by the role of its receiver. */
export function measureNetwork(network: Network, metrics: Metrics): Network {
  const measureConnection = (connection: Connection): Connection => ({
    peer: connection.peer,
    send: bytes => {
      metrics.countMessage(connection.peer.role, bytes.byteLength);
      connection.send(bytes);
    },
    receive: () => connection.receive(),
    close: cause => {
      connection.close(cause);
    },
  });
  return wrapConnections(network, measureConnection);
}
