import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { text } from 'node:stream/consumers';

import test from 'ava';
import { Hono } from 'hono';

import { createTestIntake } from '../fakes/create-test-intake.js';
import {
  type HeldAddress,
  holdLoopbackAddress,
} from '../fakes/hold-loopback-address.js';
import { listenEarly } from './early-listener.js';
import { listenForHttp } from './http-listener.js';

function serveEarly(
  earlyListener: ReturnType<typeof listenEarly>,
  { address, port }: HeldAddress,
) {
  return listenForHttp({
    app: new Hono().get('/', context => context.text('served')),
    address: { address, port },
    bodyTimeoutMilliseconds: 5_000,
    connections: 10,
    bodyBytes: () => 1_000,
    intake: createTestIntake(),
    earlyListener,
  });
}

async function sendRequest({ address, port }: HeldAddress): Promise<string> {
  const socket = connect(port, address);
  await once(socket, 'connect');
  socket.write(
    'GET / HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n',
  );
  return await text(socket);
}

test('callers that connect while the program loads are served afterwards', async t => {
  const held = await holdLoopbackAddress();
  t.teardown(held.release);
  const { address, port } = held;
  const earlyListener = listenEarly(`${address}:${String(port)}`);
  const waitingResponse = sendRequest(held);
  const disconnected = connect(port, address);
  await once(disconnected, 'connect');
  disconnected.resetAndDestroy();
  const listener = (await serveEarly(earlyListener, held))._unsafeUnwrap();
  t.regex(await waitingResponse, /^HTTP\/1\.1 200 .*served$/s);
  t.regex(await sendRequest(held), /^HTTP\/1\.1 200 .*served$/s);
  t.is(listener.address.port, port);
  await listener.close();
  await t.throwsAsync(sendRequest(held), { code: 'ECONNREFUSED' });
});

test('a port in use is reported when the HTTP listener starts', async t => {
  const held = await holdLoopbackAddress();
  t.teardown(held.release);
  const { address, port } = held;
  const other = createServer().listen(port, address);
  await once(other, 'listening');
  const earlyListener = listenEarly(`${address}:${String(port)}`);
  await new Promise(resolve => setImmediate(resolve));
  const served = await serveEarly(earlyListener, held);
  t.regex(served._unsafeUnwrapErr().message, /Cannot listen on/);
  other.close();
});

test('no port is opened without an address', t => {
  t.is(listenEarly(undefined), undefined);
  t.is(listenEarly(''), undefined);
});
