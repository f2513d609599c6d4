/**
 * Waits until a port of another process on the same host accepts connections, so that processes which start together
 * can load in the order in which they are needed. This module must not import anything that is slow to load.
 */
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Bounds of a wait, in milliseconds. */
export interface PortWait {
  readonly timeoutMilliseconds: number;
  readonly pollMilliseconds: number;
}

/** Resolves with true once the port accepts a connection, with false after the timeout. */
export async function waitForPort(
  { address, port }: { readonly address: string; readonly port: number },
  { timeoutMilliseconds, pollMilliseconds }: PortWait,
): Promise<boolean> {
  const stopAt = performance.now() + timeoutMilliseconds;
  while (performance.now() < stopAt) {
    await sleep(pollMilliseconds);
    if (await acceptsConnections(address, port)) return true;
  }
  return false;
}

function acceptsConnections(host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({ host, port });
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => {
      resolve(false);
    });
  });
}
