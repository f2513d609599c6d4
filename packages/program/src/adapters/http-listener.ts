/** Listens for HTTP. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { ConnectionError } from '@cranberryturn/errors';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { formatAddress } from '@cranberryturn/wire';
import { serve } from '@hono/node-server';
import type { Hono } from 'hono';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { refuseUnreadableRequests } from './refuse-unreadable-requests.js';

/** What a listener is built from. */
export interface HttpListenerOptions {
  readonly app: Hono;
  readonly address: NetworkAddress;
  /** Longest time for a caller to send its request. */
  readonly bodyTimeoutMilliseconds: Milliseconds;
  readonly connections: number;
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
  const { app, address, bodyTimeoutMilliseconds, connections } = options;
  return new Promise(resolve => {
    const server = serve(
      {
        fetch: app.fetch,
        hostname: address.address,
        port: address.port,
        serverOptions: {
          requestTimeout: bodyTimeoutMilliseconds,
          headersTimeout: bodyTimeoutMilliseconds,
          connectionsCheckingInterval: bodyTimeoutMilliseconds / 4,
        },
      },
      (info: AddressInfo) => {
        resolve(ok(describeListener(server, address, info)));
      },
    ) as Server;
    server.maxConnections = connections;
    refuseUnreadableRequests(server);
    server.once('error', cause => {
      resolve(err(describeFault(address, cause)));
    });
  });
}

function describeListener(
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

function describeFault(
  address: NetworkAddress,
  cause: unknown,
): ConnectionError {
  return new ConnectionError(
    `Cannot listen on ${formatAddress(address)}; choose a free port in the settings.`,
    { step: 'listen' },
    cause,
  );
}
