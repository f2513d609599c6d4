import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import test from 'ava';

import { holdLoopbackAddress } from '../fakes/hold-loopback-address.js';
import { waitForPort } from './wait-for-port.js';

const wait = { timeoutMilliseconds: 5_000, pollMilliseconds: 5 };

test('a port that opens later is waited for, and one that stays closed for a bounded time', async t => {
  const { address, port, release } = await holdLoopbackAddress();
  t.teardown(release);
  const server = createServer(socket => socket.destroy());
  await new Promise<void>(resolve => server.listen(port, address, resolve));
  t.true(await waitForPort({ address, port }, wait));
  await new Promise(resolve => server.close(resolve));
  const closed = { ...wait, timeoutMilliseconds: 30 };
  t.false(await waitForPort({ address, port }, closed));
  const waiting = waitForPort({ address, port }, wait);
  await sleep(20);
  const again = createServer(socket => socket.destroy());
  await new Promise<void>(resolve => again.listen(port, address, resolve));
  t.true(await waiting);
  again.close();
});
