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
  handTo(server: HttpServer, listening: () => void): void;
}

/** Opens a port; `address` has the form `10.0.0.1:8080`. Undefined when no address is given. */
export function listenEarly(
  address: string | undefined,
): EarlyListener | undefined {
  if (address === undefined || address === '') return undefined;
  const [host, port] = address.split(':');
  const waiting = new Set<Socket>();
  const listener = createServer(
    { pauseOnConnect: true, noDelay: true },
    socket => {
      waiting.add(socket);
      const leave = (): void => {
        waiting.delete(socket);
      };
      socket.once('close', leave);
      // A caller that leaves before it is served has asked for nothing yet: there is nothing to report.
      socket.on('error', leave);
    },
  );
  let fault: Error | undefined;
  listener.once('error', error => {
    fault = error;
  });
  listener.listen({ host, port: Number(port) });
  return {
    address,
    handTo: (server, listening) => {
      if (fault !== undefined) {
        server.emit('error', fault);
        return;
      }
      server.listen(listener, () => {
        for (const socket of waiting) pass(socket, server);
        listening();
      });
    },
  };
}

function pass(socket: Socket, server: HttpServer): void {
  socket.removeAllListeners('error');
  socket.removeAllListeners('close');
  server.emit('connection', socket);
  socket.resume();
}
