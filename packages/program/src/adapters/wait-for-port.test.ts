import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import test from 'ava';

import { waitForPort } from './wait-for-port.js';

const host = '127.0.0.1';
const wait = { timeoutMilliseconds: 5_000, pollMilliseconds: 5 };

test('a port that opens later is waited for, and one that stays closed for a bounded time', async t => {
  const server = createServer(socket => socket.destroy());
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  const { port } = server.address() as AddressInfo;
  t.true(await waitForPort({ address: host, port }, wait));
  await new Promise(resolve => server.close(resolve));
  const closed = { ...wait, timeoutMilliseconds: 30 };
  t.false(await waitForPort({ address: host, port }, closed));
  const waiting = waitForPort({ address: host, port }, wait);
  await sleep(20);
  const again = createServer(socket => socket.destroy());
  await new Promise<void>(resolve => again.listen(port, host, resolve));
  t.true(await waiting);
  again.close();
});
