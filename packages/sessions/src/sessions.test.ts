import { createRandomSource } from '@cranberryturn/random';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type { NetworkAddress } from '@cranberryturn/types';
import {
  createMemoryNetwork,
  type MemoryNetwork,
  ProcessRole,
} from '@cranberryturn/wire';
import test from 'ava';

import { acceptSessions, type SessionAcceptor } from './accept-sessions.js';
import { openSession, type SessionDialer } from './open-session.js';
import { SessionEndReason, type SessionListener } from './session-types.js';
import { defaultSessionTimes } from './session-liveness.js';

const times = defaultSessionTimes;
const delayMilliseconds = 1;

/** Messages and events seen at one end of a session. */
interface RecordedEndpoint {
  readonly received: string[];
  readonly events: string[];
  send: (message: string) => void;
  working: boolean;
}

interface SessionPair {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  readonly near: RecordedEndpoint;
  readonly far: RecordedEndpoint;
  readonly dialer: SessionDialer<string, string>;
  readonly acceptor: SessionAcceptor<string, string>;
}

function createEndpoint(): RecordedEndpoint {
  return { received: [], events: [], send: () => undefined, working: false };
}

function createRecordingListener(
  end: RecordedEndpoint,
): SessionListener<string> {
  return {
    messageReceived: message => end.received.push(message),
    connected: () => end.events.push('connected'),
    suspected: () => end.events.push('suspected'),
    ended: reason => end.events.push(reason),
    hasWork: () => end.working,
  };
}

async function acceptOn(
  network: MemoryNetwork,
  timers: ManualTimerService,
  end: RecordedEndpoint,
  incarnation: string,
  port: number,
) {
  const acceptor = acceptSessions<string, string>({
    timers,
    times,
    startSession: (_peer, send) => {
      end.send = send;
      return createRecordingListener(end);
    },
  });
  const self = { role: ProcessRole.Dispatcher, name: 'far', incarnation };
  const listener = await network
    .join(self)
    .listen({ address: '127.0.0.1', port }, connection => {
      void acceptor.acceptConnection(connection);
    });
  return { acceptor, listener: listener._unsafeUnwrap() };
}

function dialFrom(
  network: MemoryNetwork,
  timers: ManualTimerService,
  end: RecordedEndpoint,
  incarnation: string,
  address: NetworkAddress,
): SessionDialer<string, string> {
  const self = { role: ProcessRole.Sidecar, name: 'near', incarnation };
  return openSession<string, string>({
    network: network.join(self),
    address,
    timers,
    random: createRandomSource(1),
    times,
    startSession: (_peer, send) => {
      end.send = send;
      return createRecordingListener(end);
    },
  });
}

async function startPair(): Promise<SessionPair> {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, delayMilliseconds);
  const near = createEndpoint();
  const far = createEndpoint();
  const { acceptor, listener } = await acceptOn(
    network,
    timers,
    far,
    'far-1',
    0,
  );
  const dialer = dialFrom(network, timers, near, 'near-1', listener.address);
  await timers.advance(100);
  return { timers, network, near, far, dialer, acceptor };
}

function closeAll({ dialer, acceptor }: SessionPair): void {
  dialer.close();
  acceptor.close();
}

test('messages arrive once, in order, in both directions', async t => {
  const pair = await startPair();
  for (const text of ['a', 'b', 'c']) pair.near.send(text);
  for (const text of ['x', 'y']) pair.far.send(text);
  await pair.timers.advance(10);
  t.deepEqual(pair.far.received, ['a', 'b', 'c']);
  t.deepEqual(pair.near.received, ['x', 'y']);
  closeAll(pair);
});

test('a session resumes over a second connection when the first is silent but open', async t => {
  const pair = await startPair();
  const [first] = pair.network.connections;
  if (first !== undefined) first.isSilent = true;
  pair.near.send('lost on the silent connection');
  pair.far.send('lost as well');
  await pair.timers.advance(2_900);
  t.deepEqual(pair.far.received, []);
  t.is(pair.network.connections.length, 1);
  await pair.timers.advance(1_200);
  t.is(pair.network.connections.length, 2);
  t.deepEqual(pair.far.received, ['lost on the silent connection']);
  t.deepEqual(pair.near.received, ['lost as well']);
  await pair.timers.advance(10_000);
  t.is(pair.far.received.length, 1);
  t.is(pair.network.connections.length, 2);
  closeAll(pair);
});

test('a message whose acknowledgement is lost is not delivered twice', async t => {
  const pair = await startPair();
  pair.near.send('delivered, not acknowledged');
  await pair.timers.advance(2);
  const [first] = pair.network.connections;
  if (first !== undefined) first.isSilent = true;
  await pair.timers.advance(5_000);
  t.deepEqual(pair.far.received, ['delivered, not acknowledged']);
  t.is(pair.network.connections.length, 2);
  closeAll(pair);
});

test('a closed connection is replaced at once without losing messages', async t => {
  const pair = await startPair();
  pair.network.connections[0]?.disconnect();
  pair.near.send('sent while there is no connection');
  await pair.timers.advance(50);
  t.deepEqual(pair.far.received, ['sent while there is no connection']);
  closeAll(pair);
});

test('no message is lost or duplicated when connections close at random times', async t => {
  const pair = await startPair();
  const random = createRandomSource(7);
  const expected: string[] = [];
  for (let round = 0; round < 200; round += 1) {
    const text = `message ${String(round)}`;
    expected.push(text);
    pair.near.send(text);
    pair.far.send(text);
    await pair.timers.advance(random.below(6));
    if (random.below(4) === 0) pair.network.connections.at(-1)?.disconnect();
  }
  await pair.timers.advance(5_000);
  t.deepEqual(pair.far.received, expected);
  t.deepEqual(pair.near.received, expected);
  closeAll(pair);
});

test('a restart of the peer ends the session and starts a new one', async t => {
  const pair = await startPair();
  const restartedEndpoint = createEndpoint();
  const port = 40_000;
  pair.acceptor.close();
  for (const connection of pair.network.connections) connection.disconnect();
  const { acceptor } = await acceptOn(
    pair.network,
    pair.timers,
    restartedEndpoint,
    'far-2',
    port,
  );
  pair.near.send('for the old run');
  await pair.timers.advance(200);
  pair.near.send('for the new run');
  await pair.timers.advance(50);
  t.true(pair.near.events.includes(SessionEndReason.PeerRestarted));
  t.deepEqual(restartedEndpoint.received, ['for the new run']);
  pair.dialer.close();
  acceptor.close();
});

test('an idle session sends about 24 frames a minute, at most 26', async t => {
  const pair = await startPair();
  await pair.timers.advance(30_000);
  const before = pair.network.countDeliveredFrames();
  await pair.timers.advance(60_000);
  const frames = pair.network.countDeliveredFrames() - before;
  t.true(frames <= 26, `${String(frames)} frames in a minute`);
  t.is(pair.network.connections.length, 1);
  closeAll(pair);
});

test('both ends suspect a silent connection within 3.5 s if one end has work and 7.5 s if none has', async t => {
  const found: string[] = [];
  for (const busy of ['near', 'far', 'none'] as const) {
    const pair = await startPair();
    await pair.timers.advance(60_000);
    if (busy !== 'none') pair[busy].working = true;
    await pair.timers.advance(3_000);
    const [first] = pair.network.connections;
    if (first !== undefined) first.isSilent = true;
    const silentAt = pair.timers.now();
    const seen = { near: 0, far: 0 };
    while (seen.near === 0 || seen.far === 0) {
      await pair.timers.advance(100);
      const elapsed = pair.timers.now() - silentAt;
      if (pair.near.events.includes('suspected')) seen.near ||= elapsed;
      if (pair.far.events.includes('suspected')) seen.far ||= elapsed;
      if (elapsed > 20_000) break;
    }
    const longest = busy === 'none' ? 7_500 : 3_500;
    t.true(seen.near > 0 && seen.near <= longest, `${busy}: near`);
    t.true(seen.far > 0 && seen.far <= longest, `${busy}: far`);
    found.push(`${busy}: ${String(seen.near)} and ${String(seen.far)} ms`);
    closeAll(pair);
  }
  t.log(found.join(', '));
});

test('a message sent on a silent connection of an idle session arrives within four seconds', async t => {
  const pair = await startPair();
  await pair.timers.advance(61_000);
  const [first] = pair.network.connections;
  if (first !== undefined) first.isSilent = true;
  pair.near.send('this target leaves');
  await pair.timers.advance(4_000);
  t.deepEqual(pair.far.received, ['this target leaves']);
  closeAll(pair);
});
