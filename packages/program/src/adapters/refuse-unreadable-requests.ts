/** Answers requests that were incomplete or not valid HTTP, in the JSON form of all refusals. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { composeResponse, type Refusal } from '../intake/refuse-request.js';

/** Error that Node.js reports for a request that it cannot read. */
interface RequestReadError extends Error {
  readonly code?: string;
}

/** Requests of each connection whose response is not finished. */
type UnansweredRequests = WeakMap<Socket, Set<IncomingMessage>>;

/**
 * Answers unreadable requests of `server` with a 4xx refusal, and closes their connections.
 *
 * A connection that still waits for the response to an earlier request is closed without a refusal,
 * because the caller would mistake the refusal for that response.
 */
export function refuseUnreadableRequests(server: Server): void {
  const unansweredRequests: UnansweredRequests = new WeakMap();
  server.on('request', (request, response) => {
    trackRequest(unansweredRequests, request, response);
  });
  server.on('clientError', (error: RequestReadError, socket: Socket) => {
    if (!socket.writable || hasUnansweredRequest(unansweredRequests, socket)) {
      socket.destroy();
      return;
    }
    socket.write(composeResponse(describeReadError(error)));
    socket.destroySoon();
  });
}

function trackRequest(
  unansweredRequests: UnansweredRequests,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const requests = unansweredRequests.get(request.socket) ?? new Set();
  unansweredRequests.set(request.socket, requests);
  requests.add(request);
  response.once('close', () => {
    requests.delete(request);
  });
}

function hasUnansweredRequest(
  unansweredRequests: UnansweredRequests,
  socket: Socket,
): boolean {
  return [...(unansweredRequests.get(socket) ?? [])].some(
    request => request.complete,
  );
}

function describeReadError({ code, message }: RequestReadError): Refusal {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return {
      status: '408 Request Timeout',
      reason:
        'The request did not arrive whole in the time allowed; send it again in one piece.',
    };
  }
  if (code === 'HPE_HEADER_OVERFLOW') {
    return {
      status: '431 Request Header Fields Too Large',
      reason: 'The headers are too large; send fewer or shorter ones.',
    };
  }
  return {
    status: '400 Bad Request',
    reason: `The request is not valid HTTP/1.1: ${message}`,
  };
}
