/** Finds ports that are free on an address at the moment. */
import { type AddressInfo, createServer, type Server } from 'node:net';

/** Finds different free ports. */
export async function findFreePorts(
  address: string,
  count: number,
): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => listen(address)),
  );
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

function listen(address: string): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, address, () => {
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
