import { once } from 'node:events';
import { request } from 'node:http';
import { connect, type Socket } from 'node:net';
import { text } from 'node:stream/consumers';

import type { HttpBindings } from '@hono/node-server';
import { createManualTimerService } from '@cranberryturn/timers';
import test, { type ExecutionContext } from 'ava';
import { Hono } from 'hono';

import { listenForHttp } from '../adapters/http-listener.js';
import { createTestIntake } from '../fakes/create-test-intake.js';
import { createIntake, IntakeRefusal } from './intake.js';
import { deriveIntakeLimits, type IntakeLimits } from './intake-limits.js';
import { holdForWork } from './receive-requests.js';

const maximumBytes = 1_000;
const mebibyte = 1_048_576;
const workBytes = 40_000;
const largeResponse = 'x'.repeat(16 * mebibyte);

/** Serves bodies at `/`, requests without a response at `/wait` and `/work`, and a response that no buffer holds at `/large`. */
async function serve(
  t: ExecutionContext,
  limits: Partial<IntakeLimits> & {
    readonly connections?: number;
    readonly bodyBytes?: number;
  } = {},
) {
  const { connections = 10, bodyBytes = maximumBytes, ...shared } = limits;
  const intake = createTestIntake(shared);
  const arrived: string[] = [];
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.all('/', async context => {
    arrived.push(await context.req.text());
    return context.text('served');
  });
  app.get('/wait', () => new Promise(() => undefined));
  app.post('/work', context =>
    holdForWork(context.env.incoming, workBytes)
      ? new Promise(() => undefined)
      : context.body(null, 503),
  );
  app.get('/large', context => context.text(largeResponse));
  const listening = await listenForHttp({
    app,
    address: { address: '127.0.0.1', port: 0 },
    bodyTimeoutMilliseconds: 60_000,
    connections,
    bodyBytes: () => bodyBytes,
    intake,
  });
  const listener = listening._unsafeUnwrap();
  t.teardown(listener.kill);
  const open = (sent: string): Socket => {
    const socket = connect(listener.address.port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(sent);
    return socket;
  };
  return {
    intake,
    arrived,
    port: listener.address.port,
    open,
    isServed: async () => {
      const socket = open(
        'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
      );
      return (await text(socket)).startsWith('HTTP/1.1 200');
    },
  };
}

function composeHead(field: string): string {
  return `POST / HTTP/1.1\r\nhost: a\r\n${field}\r\n\r\n`;
}

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
  const { port, arrived } = await serve(t);
  for (const hasContentLength of [true, false]) {
    t.is(await sendBody(port, maximumBytes + 1, hasContentLength), 413);
    t.is(await sendBody(port, maximumBytes, hasContentLength), 200);
  }
  t.deepEqual(
    arrived.map(body => body.length),
    [maximumBytes, maximumBytes],
  );
});

test('a body in chunks of one byte arrives whole', async t => {
  const { arrived, open } = await serve(t);
  const body = 'body of one byte a chunk, '.repeat(20);
  const chunks = [...body].map(byte => `1\r\n${byte}\r\n`).join('');
  const socket = open(
    `${composeHead('transfer-encoding: chunked')}${chunks}0\r\n\r\n`,
  );
  const [response] = (await once(socket, 'data')) as [Buffer];
  t.regex(response.toString(), /^HTTP\/1\.1 200/);
  t.deepEqual(arrived, [body]);
  socket.destroy();
});

test('a body over the limit is refused before its client is told to go on', async t => {
  const { open } = await serve(t);
  const response = await text(
    open(composeHead('content-length: 1001\r\nexpect: 100-continue')),
  );
  t.regex(response, /^HTTP\/1\.1 413 .*"started":"no"/s);
});

test('stalled bodies are evicted for a whole request when the memory of the process is held', async t => {
  const { intake, open, isServed } = await serve(t, {
    heldBytes: 64_000,
    bodyBytes: 30_000,
  });
  const stalled = Array.from({ length: 5 }, () =>
    open(composeHead('content-length: 30000') + 'x'.repeat(29_000)),
  );
  const first = await text(stalled[0] as Socket);
  t.regex(first, /^HTTP\/1\.1 503 .*retry-after: 1.*"started":"no"/s);
  t.true(await isServed());
  t.true(intake.held.bytes <= 64_000);
  for (const socket of stalled) socket.destroy();
});

test('memory is released when the connections of stalled bodies end', async t => {
  const { intake, open } = await serve(t, { bodyBytes: 30_000 });
  const socket = open(
    composeHead('content-length: 30000') + 'x'.repeat(29_000),
  );
  while (intake.held.bytes < 29_000) await new Promise(setImmediate);
  socket.destroy();
  while (intake.held.bytes > 0) await new Promise(setImmediate);
  t.is(intake.countRefused(), 0);
});

test('a connection with too many unanswered requests is closed, and others are served', async t => {
  const { intake, open, isServed } = await serve(t, {
    requestsPerConnection: 3,
  });
  const socket = open('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(4));
  t.is(await text(socket).catch(() => ''), '');
  t.is(intake.countRefused(), 1);
  t.true(await isServed());
  t.is(intake.held.bytes, 0);
});

test('a connection whose client reads no response is closed after a time', async t => {
  const { intake, open, isServed } = await serve(t, {
    heldBytes: 64 * mebibyte,
    responseTimeoutMilliseconds: 100,
  });
  const socket = open('GET /large HTTP/1.1\r\nhost: a\r\n\r\n');
  socket.pause();
  while (intake.countRefused() === 0) await new Promise(setImmediate);
  t.is(intake.held.bytes, 0);
  t.true(await isServed());
  socket.destroy();
});

test('unread responses are evicted when the memory of the process is held', async t => {
  const { intake, open, isServed } = await serve(t, {
    heldBytes: 24 * mebibyte,
  });
  const sockets = [1, 2, 3].map(() => {
    const socket = open('GET /large HTTP/1.1\r\nhost: a\r\n\r\n');
    socket.pause();
    return socket;
  });
  while (intake.countRefused() < 2) await new Promise(setImmediate);
  t.true(intake.held.bytes <= 24 * mebibyte);
  t.true(await isServed());
  for (const socket of sockets) socket.destroy();
});

test('work on requests counts as held memory until they end, and is refused without room', async t => {
  const { intake, open } = await serve(t, { heldBytes: 100_000 });
  const work = 'POST /work HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}';
  const working = [open(work), open(work)];
  while (intake.held.bytes < 2 * workBytes) await new Promise(setImmediate);
  const [refused] = (await once(open(work), 'data')) as [Buffer];
  t.regex(refused.toString(), /^HTTP\/1\.1 503/);
  working[0]?.destroy();
  while (intake.held.bytes > workBytes + 10_000)
    await new Promise(setImmediate);
  open(work);
  while (intake.held.bytes < 2 * workBytes) await new Promise(setImmediate);
  t.is(intake.countRefused(), 1);
});

test('the connection that waits for the longest time is evicted for a new one, and none with a request in progress', async t => {
  const { intake, open, isServed } = await serve(t, { connections: 3 });
  const working = open('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n');
  while (intake.held.bytes === 0) await new Promise(setImmediate);
  const silent = [open('GET / HT'), open('GET / HT')];
  const isFirstClosed = once((silent[0] as Socket).resume(), 'close');
  t.true(await isServed());
  await isFirstClosed;
  t.true(await isServed());
  t.false(working.destroyed);
  working.destroy();
});

test('a new connection is closed when all others have requests in progress', async t => {
  const { intake, open } = await serve(t, { connections: 1 });
  const working = open('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n');
  while (intake.held.bytes === 0) await new Promise(setImmediate);
  t.is(await text(open('')).catch(() => ''), '');
  t.false(working.destroyed);
  working.destroy();
});

test('a process logs one line a second, with the number of callers by reason', async t => {
  const timers = createManualTimerService();
  const lines: object[] = [];
  const intake = createIntake({
    limits: deriveIntakeLimits({ memoryBytes: 0, descriptors: 4_096 }),
    timers,
    logger: {
      warn: (_message, fields = {}) => {
        lines.push(fields);
      },
    },
    metrics: { count: () => undefined, registerGauge: () => undefined },
  });
  for (let caller = 0; caller < 1_000; caller += 1) {
    intake.report(IntakeRefusal.BodyTooLarge);
    intake.report(IntakeRefusal.NoMemory);
  }
  await timers.advance(5_000);
  t.deepEqual(lines, [
    {
      'body-too-large': 1_000,
      'no-memory': 1_000,
      heldBytes: 0,
      maximumHeldBytes: 8 * mebibyte,
    },
  ]);
});

test('limits follow from the memory and the descriptors of the machine', t => {
  const limits = [128, 200, 218, 350, 474].map(memory => {
    const { heldBytes, connections } = deriveIntakeLimits({
      memoryBytes: memory * mebibyte,
      descriptors: 4_100,
    });
    return { memory, held: heldBytes / mebibyte, connections };
  });
  t.snapshot(limits);
  t.is(
    deriveIntakeLimits({ memoryBytes: 350 * mebibyte, descriptors: 1_200 })
      .connections,
    500,
  );
});
