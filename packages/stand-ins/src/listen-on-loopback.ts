/** Serves HTTP on a free port of the loopback address. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { serve } from '@hono/node-server';
import type { NetworkAddress } from '@cranberryturn/types';

const loopbackAddress = '127.0.0.1';

/** A running HTTP server. */
export interface LoopbackServer {
  readonly address: NetworkAddress;
  readonly url: string;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Starts an HTTP server; rejects only when the machine has no free port. */
export function listenOnLoopback(
  fetch: Parameters<typeof serve>[0]['fetch'],
): Promise<LoopbackServer> {
  return new Promise((resolve, reject) => {
    const server = serve(
      { fetch, hostname: loopbackAddress, port: 0 },
      (bound: AddressInfo) => {
        resolve({
          address: { address: loopbackAddress, port: bound.port },
          url: `http://${loopbackAddress}:${String(bound.port)}`,
          close: () => closeServer(server as Server),
        });
      },
    );
    server.once('error', reject);
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
