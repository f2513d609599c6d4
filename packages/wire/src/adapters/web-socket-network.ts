import type { AddressInfo } from 'node:net';

import { AuthenticationError, ConnectionError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { WebSocket, WebSocketServer } from 'ws';

import { decodeMessage, encodeMessage } from '../codec.js';
import {
  composeHello,
  type HelloFrame,
  protocolVersion,
} from '../handshake.js';
import type {
  Connection,
  ConnectionHandler,
  Listener,
  Network,
  PeerIdentity,
} from '../ports/connection.js';
import {
  createWebSocketConnection,
  readSocket,
  type SocketReader,
} from './web-socket-connection.js';

const handshakeTimeoutMilliseconds: Milliseconds = 2_000;
const maximumFrameBytes = 64 * 1_048_576;
const bootstrapPeer = 'an unknown peer';

type HandshakeError = ConnectionError | AuthenticationError;

/** What a process tells of itself on every connection. */
export interface WebSocketNetworkOptions {
  readonly self: PeerIdentity;
  readonly timers: TimerService;
}

/** Creates the network of one process over WebSockets. */
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
  const name = `${address.address}:${String(address.port)}`;
  const socket = new WebSocket(`ws://${name}`, {
    perMessageDeflate: false,
    maxPayload: maximumFrameBytes,
    handshakeTimeout: handshakeTimeoutMilliseconds,
  });
  const reader = readSocket(socket);
  const opened = await waitForOpen(socket);
  if (!opened) {
    return err(
      new ConnectionError(
        `No connection to ${name}; check that the process there runs and that the address in the settings is right.`,
        { step: 'dial', peer: name },
      ),
    );
  }
  return introduce(options, reader);
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

async function introduce(
  options: WebSocketNetworkOptions,
  reader: SocketReader,
): Promise<Result<Connection, HandshakeError>> {
  reader.socket.send(encodeMessage(composeHello(options.self)));
  const expiry = options.timers.after(handshakeTimeoutMilliseconds, () => {
    reader.socket.terminate();
  });
  const first = await readFirstFrame(reader);
  expiry.cancel();
  const hello = first.andThen(checkHello);
  if (hello.isErr()) {
    reader.socket.terminate();
    return err(hello.error);
  }
  const { role, name, incarnation } = hello.value;
  return ok(createWebSocketConnection(reader, { role, name, incarnation }));
}

async function readFirstFrame(
  reader: SocketReader,
): Promise<Result<HelloFrame, HandshakeError>> {
  const first = await reader.frames.next();
  if (first === undefined) {
    return err(
      new ConnectionError(
        'The peer closed the connection before it said who it is.',
        { step: 'handshake', peer: bootstrapPeer },
      ),
    );
  }
  return decodeMessage<HelloFrame>(first, bootstrapPeer).mapErr(
    error => new ConnectionError(error.message, error, error),
  );
}

function checkHello(hello: HelloFrame): Result<HelloFrame, ConnectionError> {
  if (hello.protocol === protocolVersion) return ok(hello);
  return err(
    new ConnectionError(
      `${hello.name} speaks protocol ${String(hello.protocol)}, this process ${String(protocolVersion)}; install the same version on both.`,
      { step: 'handshake', peer: hello.name },
    ),
  );
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
        `Cannot listen on ${address.address}:${String(address.port)}; choose a free port in the settings.`,
        { step: 'listen' },
        failure,
      ),
    );
  }
  server.on('connection', socket => {
    void acceptSocket(options, socket, handler);
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
  handler: ConnectionHandler,
): Promise<void> {
  const connection = await introduce(options, readSocket(socket));
  if (connection.isOk()) handler(connection.value);
}

function waitForListening(server: WebSocketServer): Promise<Error | undefined> {
  return new Promise(resolve => {
    server.once('listening', () => {
      resolve(undefined);
    });
    server.once('error', resolve);
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
