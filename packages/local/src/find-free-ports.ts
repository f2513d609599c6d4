/** Finds free ports on an address. */
import { randomInt } from 'node:crypto';
import { createServer, type Server } from 'node:net';

const minimumPort = 10_000;
/** First port of the ephemeral range, which the operating system uses for outgoing connections. */
const minimumOutgoingPort = 32_768;
const maximumAttempts = 10_000;

/**
 * Finds `count` distinct free ports, each reserved until all are found.
 *
 * The ports lie below the ephemeral range, so that no outgoing connection takes one of them
 * before the caller listens on it.
 *
 * @throws Error when the address has too few free ports.
 */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<readonly number[]> {
  const reservations = new Map<number, Server>();
  for (let attempts = 0; reservations.size < count; attempts += 1) {
    if (attempts === maximumAttempts) {
      throw new Error(`${address} has fewer than ${String(count)} free ports.`);
    }
    const port = randomInt(minimumPort, minimumOutgoingPort);
    if (reservations.has(port)) continue;
    const server = await tryListen(address, port);
    if (server !== undefined) reservations.set(port, server);
  }
  await Promise.all([...reservations.values()].map(close));
  return [...reservations.keys()];
}

function tryListen(address: string, port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, address, () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
  });
}
