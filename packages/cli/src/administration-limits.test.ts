import { connect, type Socket } from 'node:net';
import { text } from 'node:stream/consumers';

import test from 'ava';

import { startApi } from './fakes/test-api.js';

const bodyLimit = 65_536;

function open(port: number, sent: string): Socket {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(sent);
  return socket;
}

test('administration refuses a body over its limit before it arrives, and closes connections with many unanswered requests', async t => {
  const api = await startApi('limits');
  const { port } = api.server.address;
  const head = 'POST /v1/admin/plans HTTP/1.1\r\nhost: control\r\n';
  t.regex(
    await text(
      open(port, `${head}content-length: ${String(bodyLimit + 1)}\r\n\r\n`),
    ),
    /^HTTP\/1\.1 413 .*larger than 65536 bytes.*"started":"no"/s,
  );
  const ready = 'GET /readyz HTTP/1.1\r\nhost: control\r\n\r\n';
  const flooded = open(port, ready.repeat(1_000));
  const responses = await text(flooded).catch(() => '');
  t.true(responses.split('HTTP/1.1').length < 1_000);
  const served = await text(
    open(port, ready.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n')),
  );
  t.regex(served, /^HTTP\/1\.1 (200|503)/);
  await api.close();
});
