import { createRandomSource } from '@cranberryturn/random';
import { defaultSessionTimes, openSession } from '@cranberryturn/sessions';
import { ProcessRole } from '@cranberryturn/wire';
import test from 'ava';

import {
  createJob,
  oneProcessor,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { first } from './fakes/get-item.js';
import { TransientJobEndKind } from './transient-job.js';

const load = {
  free: oneProcessor,
  waitingWork: [],
  runningWork: 0,
  closed: true,
};
const header = { stamp: 1, load, orders: 0 };
const end = {
  jobId: 'job-1',
  taskId: '0.0.0',
  run: 1,
  requestId: 'job-1',
  waitedMilliseconds: 0,
  runMilliseconds: 0,
};

const malformedMessages: readonly unknown[] = [
  null,
  'text',
  7,
  {},
  { kind: 'announce' },
  { ...header, kind: 'announce', worker: 'text' },
  { ...header, kind: 'announce', worker: { workerId: 'w', capacity: null } },
  { ...header, stamp: NaN, kind: 'beat' },
  { ...header, load: { ...load, waitingWork: null }, kind: 'beat' },
  { ...header, load: { ...load, free: { processors: NaN } }, kind: 'beat' },
  { ...header, orders: 1e300, kind: 'beat' },
  { ...header, kind: 'ended' },
  { ...header, kind: 'ended', ends: [null] },
  { ...header, kind: 'ended', ends: [{ ...end, outcome: 'wrong' }] },
  { ...header, kind: 'still', runs: [{ ...end, stillMilliseconds: null }] },
];

test('malformed messages of one sidecar change nothing for the jobs on the others', async t => {
  const fixture = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 2,
  });
  const { timers, network, dispatchers } = fixture;
  const faulty = openSession<unknown, unknown>({
    network: network.join({
      role: ProcessRole.Sidecar,
      name: 'faulty',
      incarnation: '1',
    }),
    address: { address: '10.0.0.1', port: 7_700 },
    timers,
    random: createRandomSource(1),
    times: defaultSessionTimes,
    startSession: () => ({
      messageReceived: () => undefined,
      connected: () => undefined,
      suspected: () => undefined,
      ended: () => undefined,
    }),
  });
  await timers.advance(500);
  const { ended } = first(dispatchers).jobs.submit(createJob('job-1', 4));
  for (const message of malformedMessages) {
    const opened = network.connections.length;
    faulty.current()?.send(message);
    await timers.advance(200);
    t.is(network.connections.length, opened + 1, JSON.stringify(message));
  }
  await timers.advance(2_000);
  t.is((await ended).kind, TransientJobEndKind.Completed);
  t.deepEqual(fixture.violations, []);
  faulty.close();
});
