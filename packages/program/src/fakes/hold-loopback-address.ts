/** Loopback addresses for tests that expect a port to be closed. */
import { once } from 'node:events';
import { createServer } from 'node:net';

/** Port by which an address is held; below the ports that systems hand out. */
const holdingPort = 20_000;
const firstHost = 2;
const lastHost = 254;

/** A loopback address of which no other process or test uses a port. */
export interface HeldAddress {
  readonly address: string;
  /** A port of the address that is closed. */
  readonly port: number;
  release(): void;
}

/** Holds an address until it is released. Throws when all are held. */
export async function holdLoopbackAddress(): Promise<HeldAddress> {
  for (let host = firstHost; host <= lastHost; host += 1) {
    const address = `127.77.0.${String(host)}`;
    const holder = createServer();
    const listening = once(holder, 'listening');
    holder.listen(holdingPort, address);
    const isHeld = await listening.then(
      () => true,
      () => false,
    );
    if (!isHeld) continue;
    return {
      address,
      port: holdingPort + 1,
      release: () => {
        holder.close();
      },
    };
  }
  throw new Error('All loopback addresses for tests are held.');
}
