/** Logs the faults of peers for which connections are closed. */
import type { Logger } from '@cranberryturn/logger';
import {
  type Connection,
  type Network,
  wrapConnections,
} from '@cranberryturn/wire';

/** Wraps `network` so that closing a connection for a fault of its peer is logged, once for each. */
export function logPeerFaults(network: Network, logger: Logger): Network {
  return wrapConnections(network, connection => {
    let isLogged = false;
    const logged: Connection = {
      peer: connection.peer,
      send: bytes => {
        connection.send(bytes);
      },
      receive: () => connection.receive(),
      close: cause => {
        if (cause !== undefined && !isLogged) {
          isLogged = true;
          logger.warn('connection closed because of a message of the peer', {
            error: cause,
            cause: cause.cause,
          });
        }
        connection.close(cause);
      },
    };
    return logged;
  });
}
