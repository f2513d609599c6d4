/** The network of one process over WebSockets. */
import type { AddressInfo } from 'node:net';

import { HandshakeSide } from '@cranberryturn/authentication';
import { ConnectionError } from '@cranberryturn/errors';
import type { NetworkAddress } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { WebSocket, WebSocketServer } from 'ws';

import { formatAddress } from '../format-address.js';
import type {
  Connection,
  ConnectionHandler,
  Listener,
  Network,
} from '../ports/connection.js';
import {
  authenticateSocket,
  type HandshakeError,
  type HandshakeOptions,
  handshakeTimeoutMilliseconds,
} from './authenticate-socket.js';
import {
  createWebSocketConnection,
  readSocket,
} from './web-socket-connection.js';

const maximumFrameBytes = 64 * 1_048_576;

/** Options of a WebSocket network. */
export interface WebSocketNetworkOptions extends HandshakeOptions {
  /** Called for each incoming connection that was refused because the handshake failed. */
  readonly handlePeerRefusal?: ((error: HandshakeError) => void) | undefined;
}

/** Creates a network in which `dial` and `listen` yield authenticated connections only. */
export function createWebSocketNetwork(
  options: WebSocketNetworkOptions,
): Network {
  return {
    dial: address => new ResultAsync(dial(options, address)),
    listen: (address, handler) =>
      new ResultAsync(listen(options, address, handler)),
  };
}

async function dial(
  options: WebSocketNetworkOptions,
  address: NetworkAddress,
): Promise<Result<Connection, HandshakeError>> {
  const name = formatAddress(address);
  const socket = openSocket(name);
  if (socket === undefined) {
    return err(
      new ConnectionError(
        `${name} is no address; check the settings and the list of members that name it.`,
        { step: 'dial', peer: name },
      ),
    );
  }
  const reader = readSocket(socket);
  const opened = await waitForOpen(socket);
  if (!opened) {
    return err(
      new ConnectionError(
        `No connection to ${name}; check that the process there is running and that the address in the settings is correct.`,
        { step: 'dial', peer: name },
      ),
    );
  }
  const { Dialler } = HandshakeSide;
  const peer = await authenticateSocket(options, reader, Dialler, name);
  return peer.map(identity => createWebSocketConnection(reader, identity));
}

/** Returns undefined when the address cannot be dialled at all, for example because its port is out of range. */
function openSocket(name: string): WebSocket | undefined {
  try {
    return new WebSocket(`ws://${name}`, {
      perMessageDeflate: false,
      maxPayload: maximumFrameBytes,
      handshakeTimeout: handshakeTimeoutMilliseconds,
    });
  } catch {
    return undefined;
  }
}

function waitForOpen(socket: WebSocket): Promise<boolean> {
  return new Promise(resolve => {
    socket.once('open', () => {
      resolve(true);
    });
    socket.once('close', () => {
      resolve(false);
    });
  });
}

async function listen(
  options: WebSocketNetworkOptions,
  address: NetworkAddress,
  handler: ConnectionHandler,
): Promise<Result<Listener, ConnectionError>> {
  const server = new WebSocketServer({
    host: address.address,
    port: address.port,
    perMessageDeflate: false,
    maxPayload: maximumFrameBytes,
  });
  const failure = await waitForListening(server);
  if (failure !== undefined) {
    return err(
      new ConnectionError(
        `Cannot listen on ${formatAddress(address)}; choose a free port in the settings.`,
        { step: 'listen' },
        failure,
      ),
    );
  }
  server.on('connection', (socket, request) => {
    const { remoteAddress, remotePort } = request.socket;
    const name = `${remoteAddress ?? 'unknown'}:${String(remotePort)}`;
    void acceptSocket(options, socket, name, handler);
  });
  const bound = server.address() as AddressInfo;
  return ok({
    address: { address: address.address, port: bound.port },
    close: () => closeServer(server),
  });
}

async function acceptSocket(
  options: WebSocketNetworkOptions,
  socket: WebSocket,
  name: string,
  handler: ConnectionHandler,
): Promise<void> {
  const reader = readSocket(socket);
  const { Listener: side } = HandshakeSide;
  const peer = await authenticateSocket(options, reader, side, name);
  peer.match(
    identity => {
      handler(createWebSocketConnection(reader, identity));
    },
    error => options.handlePeerRefusal?.(error),
  );
}

function waitForListening(server: WebSocketServer): Promise<Error | undefined> {
  return new Promise(resolve => {
    server.once('listening', () => {
      resolve(undefined);
    });
    // The listener stays: an accept that fails later, for lack of file descriptors, must not end the process.
    server.on('error', resolve);
  });
}

function closeServer(server: WebSocketServer): Promise<void> {
  for (const client of server.clients) client.terminate();
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
  });
}
