/** Finds ports that are free on an address at the moment. */
import { randomInt } from 'node:crypto';
import { createServer, type Server } from 'node:net';

const lowestPort = 10_000;
/** The operating system gives ports from here on to outgoing connections. */
const lowestOutgoingPort = 32_768;
const maximumTries = 10_000;

/**
 * Finds different free ports, each held until all are found.
 *
 * The ports lie below those of outgoing connections, so that no connection takes one of them
 * before the caller listens on it.
 *
 * @throws Error when the address has too few free ports.
 */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<readonly number[]> {
  const held = new Map<number, Server>();
  for (let tries = 0; held.size < count; tries += 1) {
    if (tries === maximumTries) {
      throw new Error(`${address} has fewer than ${String(count)} free ports.`);
    }
    const port = randomInt(lowestPort, lowestOutgoingPort);
    if (held.has(port)) continue;
    const server = await listen(address, port);
    if (server !== undefined) held.set(port, server);
  }
  await Promise.all([...held.values()].map(close));
  return [...held.keys()];
}

function listen(address: string, port: number): Promise<Server | undefined> {
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
