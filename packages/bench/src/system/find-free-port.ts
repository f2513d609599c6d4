/** Finds a port of the loopback address that nothing listens on. */
import { type AddressInfo, createServer } from 'node:net';

/** Returns a port that was free a moment ago. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });
}
