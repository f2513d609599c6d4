/**
 * Opens the port of a program before its other modules are loaded. Loading takes some hundred
 * milliseconds on a slow host; callers that connect meanwhile wait instead of being refused.
 * This module must not import anything that is slow to load.
 */
import type { Server as HttpServer } from 'node:http';
import { createServer, type Socket } from 'node:net';

/** Further callers are closed; the bytes that waiting ones have sent count as memory of the process. */
const maximumWaitingSockets = 1_000;

/** Open port that accepts connections without reading from them. */
export interface EarlyListener {
  /** The address given to `listenEarly`. */
  readonly address: string;
  /**
   * Transfers the port and the waiting connections to `server`, then calls `onListening`. When the
   * port could not be opened, `server` emits the error instead.
   */
  transferTo(server: HttpServer, onListening: () => void): void;
}

/** Opens the port of `address`, for example `10.0.0.1:8080`. Returns undefined without an address. */
export function listenEarly(
  address: string | undefined,
): EarlyListener | undefined {
  if (address === undefined || address === '') return undefined;
  const [host, port] = address.split(':');
  const waitingSockets = new Set<Socket>();
  const listener = createServer(
    { pauseOnConnect: true, noDelay: true },
    socket => {
      waitingSockets.add(socket);
      const forget = (): void => {
        waitingSockets.delete(socket);
      };
      socket.once('close', forget);
      // A caller that disconnects this early has sent no request, so its error needs no report.
      socket.on('error', forget);
    },
  );
  listener.maxConnections = maximumWaitingSockets;
  let listenError: Error | undefined;
  listener.on('error', error => {
    listenError = error;
  });
  listener.listen({ host, port: Number(port) });
  return {
    address,
    transferTo: (server, onListening) => {
      if (listenError !== undefined) {
        server.emit('error', listenError);
        return;
      }
      server.listen(listener, () => {
        for (const socket of waitingSockets) forwardSocket(socket, server);
        onListening();
      });
    },
  };
}

function forwardSocket(socket: Socket, server: HttpServer): void {
  socket.removeAllListeners('error');
  socket.removeAllListeners('close');
  server.emit('connection', socket);
  socket.resume();
}
