/** Announcements of a sidecar say nothing about runs: those end as the sidecar reports, or with the session. */
import { createRandomSource } from '@cranberryturn/random';
import { openSession } from '@cranberryturn/sessions';
import {
  RunOutcome,
  type WorkerLoad,
  type WorkerRun,
} from '@cranberryturn/types';
import {
  defaultRunValidity,
  type FromWorkerMessage,
  FromWorkerKind,
  ProcessRole,
  type ToWorkerMessage,
  ToWorkerKind,
} from '@cranberryturn/wire';
import test from 'ava';

import { address, firstPort, times } from './fakes/fake-host.js';
import { first } from './fakes/get-item.js';
import { createJob, startJobsFixture } from './fakes/jobs-fixture.js';
import { CancelOutcome } from './job-cancels.js';

const load: WorkerLoad = {
  free: { processors: 8, memoryMebibytes: 65_536, accelerators: 0 },
  waitingWork: [],
  runningWork: 0,
  closed: false,
};

/** Starts a dispatcher with one worker, whose sidecar the test plays. */
async function start() {
  const fixture = await startJobsFixture({
    dispatchers: 1,
    workers: 0,
    processors: 8,
  });
  const { timers, network } = fixture;
  const orders: ToWorkerMessage[] = [];
  const stops: ToWorkerMessage[] = [];
  const worker: WorkerRun = {
    workerId: 'x',
    incarnation: 'x@1',
    service: 'register',
    dataCentre: 'north',
    labels: [],
    capacity: load.free,
  };
  const random = createRandomSource(1);
  let sendMessage: (message: FromWorkerMessage) => void = () => undefined;
  const announce = (
    announced: WorkerRun | undefined,
    received: number,
  ): void => {
    const header = { stamp: timers.now(), load, orders: received };
    sendMessage({
      kind: FromWorkerKind.Announce,
      worker: announced,
      ...header,
    });
  };
  const open = () =>
    openSession<FromWorkerMessage, ToWorkerMessage>({
      network: network.join({
        role: ProcessRole.Sidecar,
        name: 'x',
        incarnation: 'x',
      }),
      address: { address, port: firstPort },
      timers,
      times,
      random,
      startSession: (_peer, send) => ({
        messageReceived: message => {
          if (message.kind === ToWorkerKind.PlaceRuns) orders.push(message);
          if (message.kind === ToWorkerKind.StopRuns) stops.push(message);
        },
        hasWork: () => true,
        connected: () => {
          sendMessage = send;
          announce(worker, 0);
        },
        suspected: () => undefined,
        ended: () => undefined,
      }),
    });
  const reportEnd = (jobId: string): void => {
    sendMessage({
      kind: FromWorkerKind.RunsEnded,
      ends: [
        {
          jobId,
          taskId: '0.0.0',
          run: 1,
          requestId: jobId,
          outcome: RunOutcome.Interrupted,
          waitedMilliseconds: 0,
          runMilliseconds: 0,
        },
      ],
      stamp: timers.now(),
      load,
      orders: 1,
    });
  };
  let dialer = open();
  await timers.advance(50);
  announce(worker, 0);
  await timers.advance(50);
  /** Replaces the session by another one with the same process. */
  const openAgain = async (): Promise<void> => {
    dialer.close();
    dialer = open();
    await timers.advance(50);
  };
  return { ...fixture, orders, stops, worker, announce, reportEnd, openAgain };
}

test('an order that crosses a new announcement of the worker is not sent again', async t => {
  const { timers, dispatchers, orders, worker, announce } = await start();
  first(dispatchers).jobs.submit(createJob('job', 1));
  // Both were sent before the order arrives.
  announce(undefined, 0);
  announce(worker, 0);
  await timers.advance(100);
  t.is(orders.length, 1);
});

// The sidecar may still wait for the end of the run, which an order has started in a later incarnation of the worker.
test('an order that had arrived before the worker was lost is sent again once its run is reported as ended, and not before', async t => {
  const { timers, dispatchers, orders, worker, announce, reportEnd } =
    await start();
  first(dispatchers).jobs.submit(createJob('job', 1));
  await timers.advance(50);
  t.is(orders.length, 1);
  announce(undefined, 1);
  announce(worker, 1);
  await timers.advance(100);
  t.is(orders.length, 1);
  reportEnd('job');
  await timers.advance(100);
  t.is(orders.length, 2);
});

test('an order that crosses the announcement of a worker with another id is sent again once its run is reported as ended, and not before', async t => {
  const { timers, dispatchers, orders, worker, announce, reportEnd } =
    await start();
  first(dispatchers).jobs.submit(createJob('job', 1));
  announce(undefined, 0);
  announce({ ...worker, workerId: 'y', incarnation: 'y@1' }, 0);
  await timers.advance(200);
  t.is(orders.length, 1);
  reportEnd('job');
  await timers.advance(100);
  t.is(orders.length, 2);
});

test('a job that ends stops its run although the worker of the run is no longer announced', async t => {
  const { timers, dispatchers, stops, announce } = await start();
  const { jobs } = first(dispatchers);
  jobs.submit(createJob('job', 1));
  await timers.advance(50);
  announce(undefined, 1);
  await timers.advance(50);
  t.is(await jobs.cancel('job'), CancelOutcome.Ended);
  await timers.advance(50);
  t.is(stops.length, 1);
});

test('another session with the same process of a sidecar does not end the runs of the earlier one before their orders have run out', async t => {
  const { timers, dispatchers, orders, worker, announce, openAgain } =
    await start();
  first(dispatchers).jobs.submit(createJob('job', 1));
  await timers.advance(50);
  await openAgain();
  const openedAt = timers.now();
  while (orders.length === 1 && timers.now() < openedAt + 3_000) {
    announce(worker, 0);
    await timers.advance(50);
  }
  t.is(orders.length, 2);
  t.true(timers.now() - openedAt >= defaultRunValidity.endedMilliseconds - 150);
});
