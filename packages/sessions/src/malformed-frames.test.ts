import { createManualTimerService } from '@cranberryturn/timers';
import {
  type Connection,
  createMemoryNetwork,
  encodeMessage,
  ProcessRole,
} from '@cranberryturn/wire';
import test from 'ava';

import { acceptSessions } from './accept-sessions.js';
import { defaultSessionTimes } from './session-liveness.js';

const address = { address: '127.0.0.1', port: 1 };
const open = { kind: 'open', session: 1, received: 0 };

/** A process that accepts sessions, and a peer that writes frames of its choice. */
async function startAcceptor() {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, 1);
  const received: string[] = [];
  const events: string[] = [];
  const acceptor = acceptSessions<string, string>({
    timers,
    times: defaultSessionTimes,
    startSession: () => ({
      messageReceived: message => {
        if (message === 'bad') throw new TypeError('cannot be handled');
        received.push(message);
      },
      connected: () => events.push('connected'),
      suspected: () => events.push('suspected'),
      ended: reason => events.push(reason),
    }),
  });
  const self = { role: ProcessRole.Dispatcher, name: 'far', incarnation: '1' };
  await network.join(self).listen(address, connection => {
    void acceptor.acceptConnection(connection);
  });
  const peer = { role: ProcessRole.Sidecar, name: 'near', incarnation: '1' };
  const send = async (...frames: readonly unknown[]): Promise<Connection> => {
    const dialling = network.join(peer).dial(address);
    await timers.advance(10);
    const connection = (await dialling)._unsafeUnwrap();
    for (const frame of frames) connection.send(encodeMessage(frame));
    await timers.advance(10);
    return connection;
  };
  return { timers, received, events, acceptor, send };
}

async function hasEnded(connection: Connection): Promise<boolean> {
  let frames = 0;
  for await (const frame of connection.receive()) {
    frames += frame.length > 0 ? 1 : 0;
  }
  return frames <= 1;
}

const malformedFrames: readonly unknown[] = [
  null,
  'text',
  [],
  { kind: 'unknown' },
  { kind: 'data', sequence: 1, received: 0 },
  { kind: 'data', sequence: 1, received: 0, messages: 'text' },
  { kind: 'data', sequence: NaN, received: 0, messages: [] },
  { kind: 'heartbeat', received: NaN, state: 'idle', nextMilliseconds: 1 },
  { kind: 'heartbeat', received: 0, state: 'wrong', nextMilliseconds: 1 },
  { kind: 'heartbeat', received: 0, state: 'idle', nextMilliseconds: NaN },
];

test('a malformed frame closes its connection, and the session resumes on the next', async t => {
  const { received, events, acceptor, send } = await startAcceptor();
  for (const frame of malformedFrames) {
    t.true(await hasEnded(await send(frame)), 'first frame');
    t.true(await hasEnded(await send(open, frame)), JSON.stringify(frame));
  }
  const data = { kind: 'data', sequence: 1, received: 0, messages: ['good'] };
  await send(open, data);
  t.deepEqual(received, ['good']);
  t.deepEqual(
    events.filter(event => event !== 'connected' && event !== 'suspected'),
    [],
  );
  acceptor.close();
});

test('a message whose handler throws closes its connection and is not handled again', async t => {
  const { received, acceptor, send } = await startAcceptor();
  const messages = ['bad', 'good'];
  const data = { kind: 'data', sequence: 1, received: 0, messages };
  t.true(await hasEnded(await send(open, data)));
  await send(open, data);
  t.deepEqual(received, ['good']);
  acceptor.close();
});
