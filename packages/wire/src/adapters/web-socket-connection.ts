/** A connection over one WebSocket. */
import { type RawData, WebSocket } from 'ws';

import { FrameQueue } from '../frame-queue.js';
import type { Connection, PeerIdentity } from '../ports/connection.js';

/** A socket with the queue of the frames that arrived. */
export interface SocketReader {
  readonly socket: WebSocket;
  readonly frames: FrameQueue;
}

/**
 * Queues the frames of a socket. Call on a new socket at once: frames that arrive earlier are lost.
 */
export function readSocket(socket: WebSocket): SocketReader {
  const frames = new FrameQueue();
  socket.on('message', (data: RawData) => {
    frames.push(toBytes(data));
  });
  socket.on('close', () => {
    frames.end();
  });
  socket.on('error', () => {
    socket.terminate();
  });
  return { socket, frames };
}

/** Wraps a socket whose handshake has succeeded. */
export function createWebSocketConnection(
  reader: SocketReader,
  peer: PeerIdentity,
): Connection {
  const { socket, frames } = reader;
  return {
    peer,
    send: frame => {
      if (socket.readyState === WebSocket.OPEN) socket.send(frame);
    },
    receive: () => frames.read(),
    close: () => {
      frames.end();
      socket.terminate();
    },
  };
}

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}
