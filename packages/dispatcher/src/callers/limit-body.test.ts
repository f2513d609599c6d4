import { request } from 'node:http';

import { listenForHttp } from '@cranberryturn/program';
import test from 'ava';
import { Hono } from 'hono';

import { limitBody } from './limit-body.js';

const maximumBytes = 1_000;

/** Sends a body with a Content-Length header or in chunks. Resolves with the status. */
function sendBody(
  port: number,
  bytes: number,
  hasContentLength: boolean,
): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    const headers = hasContentLength ? { 'content-length': String(bytes) } : {};
    const call = request({ port, host: '127.0.0.1', method: 'POST', headers });
    call.once('response', reply => {
      reply.resume();
      resolve(reply.statusCode);
      call.destroy();
    });
    call.once('error', reject);
    call.flushHeaders();
    call.write('x'.repeat(Math.ceil(bytes / 2)));
    call.end('x'.repeat(Math.floor(bytes / 2)));
  });
}

test('bodies over the limit are refused with and without Content-Length, and others arrive whole', async t => {
  const app = new Hono();
  const arrived: number[] = [];
  app.use(
    '/*',
    limitBody(maximumBytes, context => context.body(null, 413)),
  );
  app.post('/', async context => {
    arrived.push((await context.req.text()).length);
    return context.body(null, 200);
  });
  const listener = await listenForHttp({
    app,
    address: { address: '127.0.0.1', port: 0 },
    bodyTimeoutMilliseconds: 10_000,
    connections: 10,
  });
  if (listener.isErr()) throw listener.error;
  const { port } = listener.value.address;
  for (const hasContentLength of [true, false]) {
    t.is(await sendBody(port, maximumBytes + 1, hasContentLength), 413);
    t.is(await sendBody(port, maximumBytes, hasContentLength), 200);
  }
  t.deepEqual(arrived, [maximumBytes, maximumBytes]);
  listener.value.kill();
});
