/** HTTP listener on the server of Node.js. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { ConnectionError } from '@cranberryturn/errors';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { formatAddress } from '@cranberryturn/wire';
import { getRequestListener } from '@hono/node-server';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import type { Intake } from '../intake/intake.js';
import {
  type HandleRequest,
  receiveRequests,
} from '../intake/receive-requests.js';
import type { EarlyListener } from './early-listener.js';
import { refuseUnreadableRequests } from './refuse-unreadable-requests.js';

/** Request handler; a Hono app with any bindings satisfies this interface. */
export interface HttpApp {
  fetch(request: Request, bindings: object): Response | Promise<Response>;
}

/** Request handler, address and limits of an HTTP listener. */
export interface HttpListenerOptions {
  readonly app: HttpApp;
  readonly address: NetworkAddress;
  /** Timeout for receiving a whole request, headers included. */
  readonly bodyTimeoutMilliseconds: Milliseconds;
  /**
   * Maximum number of concurrent connections. A further one replaces the connection that has been without a request in
   * progress for the longest time.
   */
  readonly connections: number;
  /** Returns the maximum size of a request body. */
  readonly bodyBytes: () => number;
  /** What a caller can do about a body that is too large. */
  readonly tooLargeAdvice?: string | undefined;
  /** Limits that all listeners of the process share. */
  readonly intake: Intake;
  /** Port that was opened while the program loaded; replaces opening `address`. */
  readonly earlyListener?: EarlyListener | undefined;
}

/** Running HTTP listener. */
export interface HttpListener {
  /** Address in use, with the actual port when port 0 was requested. */
  readonly address: NetworkAddress;
  /** Stops accepting connections, and resolves once the responses in flight are sent. */
  close(): Promise<void>;
  /** Closes the listener and all connections immediately, with responses in flight unsent. */
  kill(): void;
}

/** Opens the listener. Fails with a `ConnectionError` when the address cannot be listened on. */
export function listenForHttp(
  options: HttpListenerOptions,
): ResultAsync<HttpListener, ConnectionError> {
  return new ResultAsync(listen(options));
}

function listen(
  options: HttpListenerOptions,
): Promise<Result<HttpListener, ConnectionError>> {
  const { app, address, bodyTimeoutMilliseconds, earlyListener } = options;
  return new Promise(resolve => {
    const server = createServer({
      requestTimeout: bodyTimeoutMilliseconds,
      headersTimeout: bodyTimeoutMilliseconds,
      connectionsCheckingInterval: bodyTimeoutMilliseconds / 4,
    });
    receiveRequests(server, {
      ...options,
      handle: getRequestListener((request, bindings) =>
        app.fetch(request, bindings),
      ) as HandleRequest,
    });
    refuseUnreadableRequests(server);
    // The listener stays: an accept that fails later, for lack of file descriptors, must not end the process.
    server.on('error', cause => {
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
