import { createRandomSource } from '@cranberryturn/random';
import { defaultSessionTimes, openSession } from '@cranberryturn/sessions';
import {
  JobCancelKind,
  ProcessRole,
  ToCoordinatorKind,
} from '@cranberryturn/wire';
import test, { type ExecutionContext } from 'ava';

import {
  createJob,
  type JobsFixture,
  listAllDispatchers,
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

const request = {
  request: 1,
  jobId: 'job-1',
  requestId: 'job-1',
  service: 'register',
  queue: 'lookups',
  dataCentre: 'dc-1',
  tasks: 1,
  need: oneProcessor,
  priority: 0,
  estimatedMilliseconds: 100,
  dueMilliseconds: 200,
  excludedWorkers: [],
};

const malformedCapacityMessages: readonly unknown[] = [
  null,
  { kind: ToCoordinatorKind.Request },
  { kind: ToCoordinatorKind.Request, request: { ...request, tasks: -1 } },
  { kind: ToCoordinatorKind.Request, request: { ...request, need: null } },
  {
    kind: ToCoordinatorKind.Request,
    request: { ...request, estimatedMilliseconds: NaN },
  },
  {
    kind: ToCoordinatorKind.Request,
    request: { ...request, hosts: { avoided: 'all', excluded: [] } },
  },
  { kind: ToCoordinatorKind.Withdraw, requests: 1 },
  { kind: ToCoordinatorKind.ReturnGrants, grants: ['1'] },
  { kind: JobCancelKind.Request, cancel: -1, jobId: 'job-1' },
  { kind: JobCancelKind.Request, cancel: 1, jobId: 7 },
];

/** Sends the messages as a peer that is not one of the fixture, while a job runs; each closes its connection. */
async function sendAsFaultyPeer(
  t: ExecutionContext,
  fixture: JobsFixture,
  role: ProcessRole,
  messages: readonly unknown[],
): Promise<void> {
  const { timers, network, dispatchers } = fixture;
  const faulty = openSession<unknown, unknown>({
    network: network.join({ role, name: 'faulty', incarnation: '1' }),
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
  for (const message of messages) {
    const opened = network.connections.length;
    faulty.current()?.send(message);
    await timers.advance(200);
    t.is(network.connections.length, opened + 1, JSON.stringify(message));
  }
  await timers.advance(2_000);
  t.is((await ended).kind, TransientJobEndKind.Completed);
  t.deepEqual(fixture.violations, []);
  faulty.close();
}

const options = { dispatchers: 1, workers: 2, processors: 2 };

test('malformed messages of one sidecar change nothing for the jobs on the others', async t => {
  const fixture = await startJobsFixture(options);
  await sendAsFaultyPeer(t, fixture, ProcessRole.Sidecar, malformedMessages);
});

test('malformed requests of one dispatcher for capacity change nothing for the jobs of others', async t => {
  const fixture = await startJobsFixture(options);
  await listAllDispatchers(fixture);
  await sendAsFaultyPeer(
    t,
    fixture,
    ProcessRole.Dispatcher,
    malformedCapacityMessages,
  );
});
