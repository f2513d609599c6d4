import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import {
  type Connection,
  createMemoryNetwork,
  encodeMessage,
  isRecord,
  isText,
  ProcessRole,
  type RemoteCallHandlers,
  requireShape,
  serveRemoteCalls,
  wrapConnections,
} from './index.js';

const address = { address: '127.0.0.1', port: 1 };
const isNamed = isRecord({ name: isText });

function identify(name: string) {
  return { role: ProcessRole.Dispatcher, name, incarnation: `${name}-1` };
}

/** A served process with two peers, of which one sends malformed messages. */
async function startServer(handlers: RemoteCallHandlers) {
  const timers = createManualTimerService();
  const memory = createMemoryNetwork(timers, 1);
  const faults: string[] = [];
  const network = wrapConnections(
    memory.join(identify('server')),
    connection => ({
      ...connection,
      close: cause => {
        if (cause !== undefined) faults.push(connection.peer.name);
        connection.close(cause);
      },
    }),
  );
  await network.listen(address, connection => {
    serveRemoteCalls(connection, timers, handlers);
  });
  const dial = async (name: string): Promise<Connection> => {
    const dialling = memory.join(identify(name)).dial(address);
    await timers.advance(10);
    return (await dialling)._unsafeUnwrap();
  };
  return { timers, faults, dial };
}

const malformedFrames: readonly unknown[] = [
  null,
  'text',
  7,
  NaN,
  {},
  [null],
  ['text'],
  [{}],
  [{ kind: 'unknown' }],
  [{ kind: 'call', body: {} }],
  [{ kind: 'reply', call: NaN }],
  [{ kind: 'call', call: 1, body: null }],
  [{ kind: 'call', call: 1, body: { name: 4 } }],
  [{ kind: 'notice', body: 'text' }],
  [{ kind: 'notice' }],
];

test('a malformed frame, call or notice closes the connection of its peer and no other', async t => {
  const read = (body: unknown) =>
    requireShape<{ name: string }>(body, isNamed, 'peer').name;
  const { timers, faults, dial } = await startServer({
    handleCall: body => Promise.resolve(read(body)),
    handleNotice: body => void read(body),
  });
  const other = serveRemoteCalls(await dial('other'), timers, {
    handleCall: () => Promise.resolve(undefined),
  });
  for (const frame of malformedFrames) {
    const connection = await dial('faulty');
    connection.send(encodeMessage(frame));
    await timers.advance(10);
    const next = await connection.receive()[Symbol.asyncIterator]().next();
    t.true(next.done, JSON.stringify(frame));
  }
  t.is(faults.length, malformedFrames.length);
  const replied = other.call<string>({ name: 'still served' }, 100);
  await timers.advance(10);
  t.is((await replied)._unsafeUnwrap(), 'still served');
});

test('a malformed reply fails its call as one that may have been processed', async t => {
  const { timers, dial } = await startServer({
    handleCall: () => Promise.resolve(null),
  });
  const calls = serveRemoteCalls(await dial('caller'), timers, {
    handleCall: () => Promise.resolve(undefined),
  });
  const replied = calls.call({}, 100, isNamed);
  await timers.advance(10);
  t.is((await replied)._unsafeUnwrapErr().name, 'ConnectionError');
  await calls.ended;
});
