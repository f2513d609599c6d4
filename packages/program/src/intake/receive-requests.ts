/** Passes on requests of callers once they are whole, within the limits of the process. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { CallerConnection, type CallerRequest } from './caller-connection.js';
import { type Intake, IntakeRefusal } from './intake.js';
import {
  readAnnouncedBytes,
  receiveBody,
  type Reception,
  ReceptionEnd,
} from './receive-body.js';

/** Memory of a request and its response, without header fields and bodies. */
const requestBytes = 4_096;

/** What the chunks of one body, or the work on one request, count at most: a single one is served in calm. */
const maximumShare = 0.5;

/** Where the adapter of Hono finds a body that was received before. */
interface ReceivedRequest extends IncomingMessage {
  rawBody?: Buffer | undefined;
}

/** Handles a whole request; resolves once the response is ended. */
export type HandleRequest = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => Promise<unknown>;

/** Limits of one listener. */
export interface ReceiverOptions {
  readonly intake: Intake;
  /** Maximum number of concurrent connections. */
  readonly connections: number;
  /** Returns the maximum size of a body. */
  readonly bodyBytes: () => number;
  /** What a caller can do about a body that is too large. */
  readonly tooLargeAdvice?: string | undefined;
  readonly handle: HandleRequest;
}

type HoldForWork = (bytes: number) => boolean;

const holdsForWork = new WeakMap<IncomingMessage, HoldForWork>();

/**
 * Counts this many bytes for the work on a request from now on, instead of its body, which the app has read. False when
 * there is no room: the app has to refuse the request then. One request counts a share of the bound at most.
 */
export function holdForWork(
  incoming: IncomingMessage | undefined,
  bytes: number,
): boolean {
  const hold = incoming === undefined ? undefined : holdsForWork.get(incoming);
  return hold === undefined || hold(bytes);
}

/** Receives the requests of `server`, which must have no other listener for them. */
export function receiveRequests(
  server: Server,
  options: ReceiverOptions,
): void {
  const { intake, connections, bodyBytes, handle } = options;
  const { tooLargeAdvice = 'send a smaller one' } = options;
  const maximumShareBytes = intake.held.maximumBytes * maximumShare;
  const open = new Map<Socket, CallerConnection>();
  /** Connections that can be evicted for a new one, those that wait for the longest time first. */
  const waiting = new Set<CallerConnection>();

  const notifyWaiting = (
    connection: CallerConnection,
    isWaiting: boolean,
  ): void => {
    if (isWaiting) waiting.add(connection);
    else waiting.delete(connection);
  };
  const accept = (socket: Socket): void => {
    if (open.size >= connections) {
      const [longest] = waiting;
      if (longest === undefined) {
        intake.report(IntakeRefusal.NoConnection);
        socket.destroy();
        return;
      }
      open.delete(longest.socket);
      longest.evict();
    }
    open.set(socket, new CallerConnection(socket, intake, notifyWaiting));
    socket.once('close', () => {
      open.delete(socket);
    });
  };
  const passOn = async (
    connection: CallerConnection,
    request: CallerRequest,
  ): Promise<void> => {
    connection.beginWork(request);
    await handle(request.incoming, request.outgoing);
    connection.endWork(request);
  };
  const refuseBody = (
    connection: CallerConnection,
    limitBytes: number,
  ): void => {
    connection.refuse({
      kind: IntakeRefusal.BodyTooLarge,
      reason: `The body is larger than ${String(limitBytes)} bytes; ${tooLargeAdvice}.`,
    });
  };
  const handleReception = (
    connection: CallerConnection,
    request: CallerRequest,
    limitBytes: number,
    reception: Reception,
  ): void => {
    switch (reception.end) {
      case ReceptionEnd.Whole: {
        const incoming: ReceivedRequest = request.incoming;
        const { body } = reception;
        incoming.rawBody = body.read();
        holdsForWork.set(incoming, bytes => {
          incoming.rawBody = undefined;
          body.release();
          if (connection.isClosing) return true;
          const counted = Math.min(bytes, maximumShareBytes);
          const hasRoom = connection.resizeRequest(
            request,
            request.headBytes + counted,
          );
          if (!hasRoom) intake.report(IntakeRefusal.NoMemory);
          return hasRoom;
        });
        void passOn(connection, request);
        return;
      }
      case ReceptionEnd.TooLarge:
        refuseBody(connection, limitBytes);
        return;
      case ReceptionEnd.NoMemory:
        connection.refuse({ kind: IntakeRefusal.NoMemory });
        return;
      case ReceptionEnd.Broken:
        return;
    }
  };
  const receive = (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    expectsContinue: boolean,
  ): void => {
    const connection = open.get(incoming.socket);
    if (connection === undefined || connection.isClosing) return;
    const headBytes = requestBytes + measureHead(incoming);
    const request = connection.beginRequest(incoming, outgoing, headBytes);
    if (request === undefined) return;
    const announced = readAnnouncedBytes(incoming);
    const limitBytes = Math.min(bodyBytes(), intake.held.maximumBytes);
    if (announced !== undefined && announced > limitBytes) {
      refuseBody(connection, limitBytes);
      return;
    }
    if (expectsContinue) outgoing.writeContinue();
    if (announced === 0) {
      void passOn(connection, request);
      return;
    }
    request.stopReceiving = receiveBody(
      incoming,
      {
        limitBytes,
        maximumChunkBytes: maximumShareBytes,
        pool: intake.pool,
        reserve: bytes => connection.resizeRequest(request, headBytes + bytes),
      },
      reception => {
        handleReception(connection, request, limitBytes, reception);
      },
    );
  };

  server.on('connection', accept);
  server.on('request', (incoming, outgoing) => {
    receive(incoming, outgoing, false);
  });
  server.on('checkContinue', (incoming, outgoing) => {
    receive(incoming, outgoing, true);
  });
}

function measureHead({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}
