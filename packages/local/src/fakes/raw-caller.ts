/** Sends raw bytes over TCP, for requests that no HTTP client would send. */
import { connect, type Socket } from 'node:net';

import type { NetworkAddress } from '@cranberryturn/types';

/** Status and body of an answer; status 0 if the connection closed before the answer was complete. */
export interface RawReply {
  readonly status: number;
  readonly text: string;
}

/** A TCP connection of a caller. */
export interface RawCaller {
  readonly socket: Socket;
  /** Resolves with all received text when the connection is closed. */
  readonly ended: Promise<string>;
  /** Resolves with the first complete answer; the connection may stay open. */
  readonly reply: Promise<RawReply>;
}

const sockets = new Set<Socket>();

/** Closes every connection that is still open. */
export function closeRawCallers(): void {
  for (const socket of sockets) socket.destroy();
}

/** Opens a connection and writes `text`. */
export function openRawCaller(
  { address, port }: NetworkAddress,
  text: string,
): RawCaller {
  const socket = connect({ host: address, port });
  let received = '';
  sockets.add(socket);
  socket.on('error', () => undefined);
  socket.setEncoding('utf8');
  if (text !== '') socket.write(text);
  const ended = new Promise<string>(resolve => {
    socket.once('close', () => {
      sockets.delete(socket);
      resolve(received);
    });
  });
  const reply = new Promise<RawReply>(resolve => {
    socket.on('data', (chunk: string) => {
      received += chunk;
      const parsed = parseReply(received);
      if (parsed !== undefined) resolve(parsed);
    });
    socket.once('close', () => {
      resolve({ status: 0, text: received });
    });
  });
  return { socket, ended, reply };
}

/** Composes the head of a request whose body has `bytes` bytes, or is chunked if undefined. */
export function composeRequestHead(
  path: string,
  token: string | undefined,
  bytes: number | undefined,
): string {
  return [
    `POST ${path} HTTP/1.1`,
    'host: dispatcher',
    ...(token === undefined ? [] : [`authorization: Bearer ${token}`]),
    'content-type: application/json',
    bytes === undefined
      ? 'transfer-encoding: chunked'
      : `content-length: ${String(bytes)}`,
    '',
    '',
  ].join('\r\n');
}

function parseReply(received: string): RawReply | undefined {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const head = received.slice(0, headEnd);
  const text = received.slice(headEnd + 4);
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  if (length === undefined || Buffer.byteLength(text) < Number(length)) {
    return undefined;
  }
  return { status: Number(head.split(' ')[1]), text };
}
