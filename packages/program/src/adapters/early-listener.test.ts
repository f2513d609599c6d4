import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { text } from 'node:stream/consumers';

import test from 'ava';
import { Hono } from 'hono';

import { listenEarly } from './early-listener.js';
import { listenForHttp } from './http-listener.js';

const loopback = '127.0.0.1';

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, loopback);
  await once(server, 'listening');
  const address = server.address();
  server.close();
  await once(server, 'close');
  return typeof address === 'object' && address !== null ? address.port : 0;
}

function serveEarly(
  earlyListener: ReturnType<typeof listenEarly>,
  port: number,
) {
  return listenForHttp({
    app: new Hono().get('/', context => context.text('served')),
    address: { address: loopback, port },
    bodyTimeoutMilliseconds: 5_000,
    connections: 10,
    earlyListener,
  });
}

async function sendRequest(port: number): Promise<string> {
  const socket = connect(port, loopback);
  await once(socket, 'connect');
  socket.write(
    'GET / HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n',
  );
  return await text(socket);
}

test('callers that connect while the program loads are served afterwards', async t => {
  const port = await findFreePort();
  const earlyListener = listenEarly(`${loopback}:${String(port)}`);
  const waitingResponse = sendRequest(port);
  const disconnected = connect(port, loopback);
  await once(disconnected, 'connect');
  disconnected.resetAndDestroy();
  const listener = (await serveEarly(earlyListener, port))._unsafeUnwrap();
  t.regex(await waitingResponse, /^HTTP\/1\.1 200 .*served$/s);
  t.regex(await sendRequest(port), /^HTTP\/1\.1 200 .*served$/s);
  t.is(listener.address.port, port);
  await listener.close();
  await t.throwsAsync(sendRequest(port), { code: 'ECONNREFUSED' });
});

test('a port in use is reported when the HTTP listener starts', async t => {
  const port = await findFreePort();
  const other = createServer().listen(port, loopback);
  await once(other, 'listening');
  const earlyListener = listenEarly(`${loopback}:${String(port)}`);
  await new Promise(resolve => setImmediate(resolve));
  const served = await serveEarly(earlyListener, port);
  t.regex(served._unsafeUnwrapErr().message, /Cannot listen on/);
  other.close();
});

test('no port is opened without an address', t => {
  t.is(listenEarly(undefined), undefined);
  t.is(listenEarly(''), undefined);
});
