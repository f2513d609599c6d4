/** Counts the frames that the processes of one role send. */
import type { Connection, Network } from '@cranberryturn/wire';

/** Frames and bytes sent so far. Handshakes are left out. */
export interface SentTraffic {
  frames: number;
  bytes: number;
}

/** Wraps a network so that each frame sent is added to `traffic`. */
export function countSent(network: Network, traffic: SentTraffic): Network {
  const wrap = (connection: Connection): Connection => ({
    peer: connection.peer,
    send: frame => {
      traffic.frames += 1;
      traffic.bytes += frame.byteLength;
      connection.send(frame);
    },
    receive: () => connection.receive(),
    close: () => {
      connection.close();
    },
  });
  return {
    dial: address => network.dial(address).map(wrap),
    listen: (address, handler) =>
      network.listen(address, connection => {
        handler(wrap(connection));
      }),
  };
}
