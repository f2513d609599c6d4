import { connect, type Socket } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

import type { AttemptStart } from '@cranberryturn/types';
import test, { type ExecutionContext } from 'ava';

import { TargetFailureKind } from '../ports/target.js';
import { createHttpTarget } from './http-target.js';

const backlogConnections = 1;
const fillingConnections = 8;
const giveUpMilliseconds = 8_000;

/** Listens with a short backlog and never accepts, so that the backlog fills up. */
const unresponsiveListener = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:net').createServer();
  server.listen(0, '127.0.0.1', ${String(backlogConnections)}, () => {
    parentPort.postMessage(server.address().port);
    setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
  });`;

async function startUnresponsiveListener(t: ExecutionContext): Promise<number> {
  const worker = new Worker(unresponsiveListener, { eval: true });
  t.teardown(() => worker.terminate());
  return new Promise<number>(resolve => {
    worker.once('message', resolve);
  });
}

/** Fills the backlog, so that the handshake of the next connection is not completed. */
function fillBacklog(t: ExecutionContext, port: number): void {
  const sockets: Socket[] = [];
  for (let count = 0; count < fillingConnections; count += 1) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
  }
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
  });
}

test('a connection timeout is reported as target not reached', async t => {
  const port = await startUnresponsiveListener(t);
  fillBacklog(t, port);
  const target = createHttpTarget({
    url: `http://127.0.0.1:${String(port)}`,
    connections: 4,
    connectTimeoutMilliseconds: 100,
  });
  const attempt: AttemptStart = {
    jobId: 'job',
    taskId: 'task',
    attempt: 1,
    epoch: 1,
    service: 'register-svc',
    dispatcher: 'dispatcher-1',
    payload: '{}',
    idempotent: false,
    remainingMilliseconds: 60_000,
  };
  const { signal } = new AbortController();
  const failure = target.runAttempt(attempt, signal).then(answer =>
    answer.match(
      () => undefined,
      error => error.kind,
    ),
  );
  // Without the setting, undici times out after ten seconds.
  const late = setTimeout(giveUpMilliseconds, undefined, { ref: false });
  t.is(await Promise.race([failure, late]), TargetFailureKind.NotReached);
  await target.close();
});
