/** Listens for HTTP. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { ConnectionError } from '@cranberryturn/errors';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { formatAddress } from '@cranberryturn/wire';
import { createAdaptorServer } from '@hono/node-server';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import type { EarlyListener } from './early-listener.js';
import { refuseUnreadableRequests } from './refuse-unreadable-requests.js';

/** Answers requests: an app of Hono, whatever its bindings. */
export interface HttpApp {
  fetch(request: Request, bindings: object): Response | Promise<Response>;
}

/** What a listener is built from. */
export interface HttpListenerOptions {
  readonly app: HttpApp;
  readonly address: NetworkAddress;
  /** Longest time for a caller to send its request. */
  readonly bodyTimeoutMilliseconds: Milliseconds;
  readonly connections: number;
  /** The port, where it is open already. */
  readonly earlyListener?: EarlyListener | undefined;
}

/** A listener for HTTP. */
export interface HttpListener {
  readonly address: NetworkAddress;
  /** Stops accepting, and resolves once the answers in flight were sent. */
  close(): Promise<void>;
  /** Ends all connections at once. */
  kill(): void;
}

/** Starts to listen for HTTP. */
export function listenForHttp(
  options: HttpListenerOptions,
): ResultAsync<HttpListener, ConnectionError> {
  return new ResultAsync(listen(options));
}

function listen(
  options: HttpListenerOptions,
): Promise<Result<HttpListener, ConnectionError>> {
  const { app, address, bodyTimeoutMilliseconds, connections, earlyListener } =
    options;
  return new Promise(resolve => {
    const server = createAdaptorServer({
      fetch: (request, bindings) => app.fetch(request, bindings),
      serverOptions: {
        requestTimeout: bodyTimeoutMilliseconds,
        headersTimeout: bodyTimeoutMilliseconds,
        connectionsCheckingInterval: bodyTimeoutMilliseconds / 4,
      },
    }) as Server;
    server.maxConnections = connections;
    refuseUnreadableRequests(server);
    server.once('error', cause => {
      resolve(err(createListenError(address, cause)));
    });
    const onListening = (): void => {
      const info = server.address() as AddressInfo;
      resolve(ok(createHttpListener(server, address, info)));
    };
    if (earlyListener === undefined) {
      server.listen(address.port, address.address, onListening);
    } else {
      earlyListener.transferTo(server, onListening);
    }
  });
}

function createHttpListener(
  server: Server,
  address: NetworkAddress,
  info: AddressInfo,
): HttpListener {
  return {
    address: { address: address.address, port: info.port },
    close: () =>
      new Promise(resolve => {
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      }),
    kill: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function createListenError(
  address: NetworkAddress,
  cause: unknown,
): ConnectionError {
  return new ConnectionError(
    `Cannot listen on ${formatAddress(address)}; choose a free port in the settings.`,
    { step: 'listen' },
    cause,
  );
}
