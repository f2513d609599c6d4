/**
 * Opens the port of a program before the rest of the program is loaded. Loading takes some hundred
 * milliseconds on a slow host; callers that arrive meanwhile wait, where they would be refused.
 * Imports nothing that takes time to load.
 */
import type { Server as HttpServer } from 'node:http';
import { createServer, type Socket } from 'node:net';

/** A port that is open, whose callers wait. */
export interface EarlyListener {
  /** As it was given to `listenEarly`. */
  readonly address: string;
  /** Hands the port and the callers that wait to a server, which calls back once it listens. */
  transferTo(server: HttpServer, onListening: () => void): void;
}

/** Opens a port; `address` has the form `10.0.0.1:8080`. Undefined when no address is given. */
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
      // A caller that leaves before it is served has asked for nothing yet: there is nothing to report.
      socket.on('error', forget);
    },
  );
  let listenError: Error | undefined;
  listener.once('error', error => {
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
