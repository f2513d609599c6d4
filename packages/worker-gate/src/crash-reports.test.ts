/** Which losses of a worker are reported to dispatchers as crashes, and with what. */
import { Counter } from '@cranberryturn/metrics';
import { createManualTimerService } from '@cranberryturn/timers';
import type { WorkerCrash } from '@cranberryturn/types';
import { FromWorkerKind } from '@cranberryturn/wire';
import test from 'ava';
import { err, ResultAsync } from 'neverthrow';

import { createFakeWorker } from './fakes/fake-worker.js';
import {
  createWorkerRun,
  type GateFixture,
  oneProcessor,
  startGateFixture,
} from './fakes/gate-fixture.js';
import { createConnectionError } from './fakes/worker-errors.js';
import { watchConnections } from './watch-connections.js';

function listReports({ received }: GateFixture): readonly WorkerCrash[] {
  return received.flatMap(message =>
    message.kind === FromWorkerKind.WorkerCrashes ? message.crashes : [],
  );
}

async function placeOnBusyWorker(fixture: GateFixture): Promise<void> {
  const { place, timers, worker } = fixture;
  worker.runMilliseconds = 2_000;
  place({ jobId: 'lookup', queue: 'lookups' });
  await timers.advance(500);
  place({ jobId: 'status', queue: 'statuses' });
  await timers.advance(100);
}

test('a crash is reported before the lease of the worker ends, with its active runs and the presence of their queues', async t => {
  const fixture = await startGateFixture(2);
  await placeOnBusyWorker(fixture);
  fixture.worker.crash();
  await fixture.timers.advance(150);
  t.snapshot(
    listReports(fixture).map(crash => ({
      ...crash,
      presence: crash.presence.map(({ queue, share }) => ({
        queue,
        share: Number(share.toFixed(2)),
      })),
    })),
  );
  await fixture.timers.advance(2_000);
  fixture.startIncarnation(createWorkerRun(2, 2));
  fixture.report(createWorkerRun(2, 2));
  await fixture.timers.advance(10);
  t.is(listReports(fixture).length, 1);
  const { counters } = fixture.metrics.read();
  t.is(counters[Counter.WorkerCrashes], 1);
  t.is(counters[Counter.RunsLostInCrashes], 2);
});

test('a worker that falls silent is reported as crashed once another incarnation has replaced it', async t => {
  const fixture = await startGateFixture(2);
  await placeOnBusyWorker(fixture);
  fixture.worker.isSilent = true;
  await fixture.timers.advance(2_000);
  t.deepEqual(listReports(fixture), []);
  fixture.startIncarnation(createWorkerRun(2, 2));
  fixture.report(createWorkerRun(2, 2));
  await fixture.timers.advance(10);
  t.deepEqual(
    listReports(fixture).flatMap(({ runs }) => runs.map(run => run.jobId)),
    ['lookup', 'status'],
  );
});

test('runs that a silence ended are not reported with a later restart of the worker', async t => {
  const fixture = await startGateFixture(2);
  await placeOnBusyWorker(fixture);
  fixture.worker.isSilent = true;
  await fixture.timers.advance(2_000);
  fixture.worker.isSilent = false;
  await fixture.timers.advance(2_000);
  fixture.startIncarnation(createWorkerRun(2, 2));
  fixture.report(createWorkerRun(2, 2));
  await fixture.timers.advance(10);
  t.deepEqual(listReports(fixture), []);
});

test('a worker that announced its departure is not reported as crashed', async t => {
  const fixture = await startGateFixture(2);
  await placeOnBusyWorker(fixture);
  fixture.report(createWorkerRun(2), true);
  fixture.worker.isSilent = true;
  await fixture.timers.advance(2_000);
  fixture.startIncarnation(createWorkerRun(2, 2));
  fixture.report(createWorkerRun(2, 2));
  await fixture.timers.advance(10);
  t.deepEqual(listReports(fixture), []);
});

test('a dispatcher that connects again is told the recent crashes before the worker is announced', async t => {
  const fixture = await startGateFixture(2);
  await placeOnBusyWorker(fixture);
  fixture.worker.crash();
  await fixture.timers.advance(3_000);
  fixture.received.length = 0;
  for (const connection of fixture.network.connections) connection.disconnect();
  await fixture.timers.advance(3_000);
  const kinds = fixture.received.map(({ kind }) => kind);
  t.deepEqual(kinds.slice(0, 2), [
    FromWorkerKind.WorkerCrashes,
    FromWorkerKind.Announce,
  ]);
});

test('one reset of a connection with several orders is not a refused connection, and a second failure is', async t => {
  const timers = createManualTimerService();
  const { port, crash } = createFakeWorker({
    timers,
    run: createWorkerRun(1),
    need: oneProcessor,
  });
  let isReset = true;
  let refusals = 0;
  const watched = watchConnections(
    {
      ...port,
      renewLease: order =>
        isReset
          ? new ResultAsync(
              Promise.resolve(err(createConnectionError('worker-1'))),
            )
          : port.renewLease(order),
    },
    timers,
    () => {
      refusals += 1;
    },
  );
  const renew = async (): Promise<void> => {
    void watched.renewLease({
      fencingToken: 1,
      deadline: undefined,
      acknowledgedSequence: 0,
      waitMilliseconds: 0,
    });
    await Promise.resolve();
  };
  await renew();
  await renew();
  await timers.advance(40);
  isReset = false;
  await renew();
  await timers.advance(40);
  t.is(refusals, 0);
  crash();
  await renew();
  await timers.advance(40);
  await renew();
  await timers.advance(40);
  t.is(refusals, 1);
});
