import { RunEndReason, RunOutcome } from '@cranberryturn/types';
import {
  defaultRunValidity,
  FromWorkerKind,
  ToWorkerKind,
} from '@cranberryturn/wire';
import test from 'ava';

import {
  createWorkerRun,
  dispatcherAddress,
  startGateFixture,
} from './fakes/gate-fixture.js';
import { WorkerRunOutcome } from './ports/worker.js';

test('runs start within the capacity of the worker, the most urgent first', async t => {
  const { place, worker, timers, listStarts } = await startGateFixture(2);
  for (const [jobId, priority] of [
    ['first', 2],
    ['second', 2],
    ['later', 2],
    ['urgent', 0],
  ] as const) {
    place({ jobId, priority });
  }
  await timers.advance(500);
  t.deepEqual(listStarts(), ['first/1', 'second/1', 'urgent/1', 'later/1']);
  t.is(worker.maximumProcessorsInUse, 2);
});

test('a full worker returns runs at once whose order does not let them wait', async t => {
  const { place, timers, ends, received } = await startGateFixture(2);
  place({
    jobId: 'job',
    mayWait: false,
    tasks: ['0.0.0', '0.0.1', '0.0.2'].map(taskId => ({ taskId, run: 1 })),
  });
  await timers.advance(5);
  t.deepEqual(
    ends.map(end => [end.taskId, end.outcome, end.reason]),
    [['0.0.2', RunOutcome.NotStarted, RunEndReason.NoRoom]],
  );
  const report = received.at(-1);
  t.is(report?.orders, 1);
  t.is(report?.load.free.processors, 0);
});

test('each end is reported once and acknowledged to the worker, including the last one', async t => {
  const { place, worker, timers, ends } = await startGateFixture(2);
  place({
    jobId: 'job',
    tasks: [
      { taskId: '0.0.0', run: 1 },
      { taskId: '0.0.1', run: 1 },
    ],
  });
  await timers.advance(1_000);
  t.deepEqual(
    ends.map(end => [end.taskId, end.outcome]),
    [
      ['0.0.0', RunOutcome.Done],
      ['0.0.1', RunOutcome.Done],
    ],
  );
  t.is(worker.acknowledgedSequence, 2);
});

test('a start order delivered seconds late starts no run, and its capacity is released before', async t => {
  const fixture = await startGateFixture(1);
  const { place, worker, timers, ends, listStarts } = fixture;
  worker.nextStartDelayMilliseconds = 3_000;
  place({ jobId: 'late' });
  await timers.advance(800);
  t.deepEqual(
    ends.map(end => [end.jobId, end.outcome]),
    [['late', RunOutcome.NotStarted]],
  );
  place({ jobId: 'next' });
  await timers.advance(4_000);
  t.deepEqual(listStarts(), ['next/1']);
});

test('a run whose start reply was lost continues', async t => {
  const { place, worker, timers, ends } = await startGateFixture(1);
  worker.runMilliseconds = 600;
  worker.shouldLoseNextReply = true;
  place({ jobId: 'job' });
  await timers.advance(1_500);
  t.is(worker.starts.length, 1);
  t.deepEqual(
    ends.map(end => end.outcome),
    [RunOutcome.Done],
  );
});

test('runs of an unreachable dispatcher stop before the dispatcher considers them ended', async t => {
  const fixture = await startGateFixture(1);
  const { place, worker, timers, network } = fixture;
  worker.runMilliseconds = 10_000;
  place({ jobId: 'job' });
  await timers.advance(300);
  t.is(worker.activeRuns.size, 1);
  network.partition('sidecar-1', 'dispatcher-1');
  await timers.advance(defaultRunValidity.endedMilliseconds);
  t.is(worker.activeRuns.size, 0);
});

test('runs of a dispatcher that no longer renews its lease stop before the lease ends', async t => {
  const fixture = await startGateFixture(1);
  const { place, worker, timers } = fixture;
  worker.runMilliseconds = 10_000;
  place({ jobId: 'job' });
  await timers.advance(300);
  fixture.isRenewingLease = false;
  await timers.advance(defaultRunValidity.endedMilliseconds);
  t.is(worker.activeRuns.size, 0);
});

test('a draining worker starts no further runs and finishes its active ones', async t => {
  const { place, report, worker, timers, ends } = await startGateFixture(1);
  worker.runMilliseconds = 500;
  place({ jobId: 'running' });
  place({ jobId: 'waiting' });
  await timers.advance(50);
  report(createWorkerRun(1), true);
  place({ jobId: 'late' });
  await timers.advance(1_000);
  t.deepEqual(
    ends.map(end => [end.jobId, end.outcome, end.reason]),
    [
      ['waiting', RunOutcome.NotStarted, RunEndReason.Draining],
      ['late', RunOutcome.NotStarted, RunEndReason.Draining],
      ['running', RunOutcome.Done, undefined],
    ],
  );
});

test('queue time does not count as time without progress', async t => {
  const { place, worker, timers, received } = await startGateFixture(2);
  worker.chooseRunMilliseconds = ({ jobId }) =>
    jobId.startsWith('short') ? 20 : 900;
  place({ jobId: 'first', estimatedMilliseconds: 900 });
  // The status of the worker is read after each end, so also just after a start.
  for (let number = 0; number < 80; number += 1) {
    place({ jobId: `short-${String(number)}`, priority: 0 });
  }
  place({ jobId: 'second', estimatedMilliseconds: 900 });
  await timers.advance(3_000);
  t.true(worker.starts.some(({ jobId }) => jobId === 'second'));
  t.deepEqual(
    received.filter(({ kind }) => kind === FromWorkerKind.StalledRuns),
    [],
  );
});

test('a new incarnation of the worker ends the runs of the earlier one', async t => {
  const fixture = await startGateFixture(1);
  const { place, report, worker, timers, ends } = fixture;
  worker.runMilliseconds = 5_000;
  place({ jobId: 'job' });
  await timers.advance(50);
  fixture.startIncarnation(createWorkerRun(1, 2));
  report(createWorkerRun(1, 2));
  await timers.advance(50);
  t.deepEqual(
    ends.map(end => [end.outcome, end.reason]),
    [[RunOutcome.Interrupted, RunEndReason.WorkerGone]],
  );
});

test('a late report of an earlier incarnation is ignored', async t => {
  const { gate, timers, startIncarnation } = await startGateFixture(1);
  startIncarnation(createWorkerRun(1, 5));
  gate.workerReported({
    worker: createWorkerRun(1, 5),
    bornAt: 5,
    sequence: 1,
    draining: false,
  });
  await timers.advance(50);
  const isAccepted = gate.workerReported({
    worker: createWorkerRun(1, 1),
    bornAt: 1,
    sequence: 99,
    draining: true,
  });
  t.false(isAccepted);
  t.is(gate.getExecutor()?.worker.incarnation, 'worker-1@5');
});

test('a worker silent for longer than its lease has no active runs and receives none', async t => {
  const { place, worker, timers, ends } = await startGateFixture(1);
  worker.runMilliseconds = 10_000;
  place({ jobId: 'job' });
  await timers.advance(50);
  worker.isSilent = true;
  await timers.advance(2_000);
  t.is(worker.activeRuns.size, 0);
  place({ jobId: 'next' });
  await timers.advance(50);
  t.deepEqual(
    ends.map(end => [end.jobId, end.reason]),
    [
      ['job', RunEndReason.WorkerSilent],
      ['next', RunEndReason.WorkerSilent],
    ],
  );
});

test('no run is active at a worker whose replies are lost once its runs were reported as interrupted', async t => {
  const { place, worker, timers, ends } = await startGateFixture(1);
  worker.runMilliseconds = 10_000;
  place({ jobId: 'job' });
  await timers.advance(500);
  t.is(worker.activeRuns.size, 1);
  worker.losesReplies = true;
  for (let waited = 0; ends.length === 0 && waited < 5_000; waited += 10)
    await timers.advance(10);
  t.deepEqual(
    ends.map(end => [end.outcome, end.reason]),
    [[RunOutcome.Interrupted, RunEndReason.WorkerSilent]],
  );
  t.is(worker.activeRuns.size, 0);
});

test('a run outlasts the loss of two replies to renewals', async t => {
  const { place, worker, timers, ends } = await startGateFixture(1);
  worker.runMilliseconds = 3_000;
  place({ jobId: 'job' });
  await timers.advance(500);
  worker.losesReplies = true;
  await timers.advance(400);
  worker.losesReplies = false;
  await timers.advance(4_000);
  t.deepEqual(
    ends.map(end => end.outcome),
    [RunOutcome.Done],
  );
});

test('a restarted sidecar stops the runs of its earlier process before it announces the worker', async t => {
  const fixture = await startGateFixture(1);
  const { place, worker, timers, received, network } = fixture;
  worker.runMilliseconds = 5_000;
  place({ jobId: 'job' });
  await timers.advance(50);
  for (const connection of network.connections) connection.disconnect();
  received.length = 0;
  fixture.restartGate();
  fixture.report(createWorkerRun(1));
  while (
    !received.some(
      message =>
        message.kind === FromWorkerKind.Announce &&
        message.worker !== undefined,
    )
  ) {
    await timers.advance(5);
  }
  t.is(worker.activeRuns.size, 0);
});

test('a stop order ends the run', async t => {
  const { place, send, worker, timers, ends } = await startGateFixture(1);
  worker.runMilliseconds = 5_000;
  place({ jobId: 'job' });
  await timers.advance(50);
  send({ kind: ToWorkerKind.StopRuns, jobId: 'job', taskIds: ['0.0.0'] });
  await timers.advance(100);
  t.is(worker.activeRuns.size, 0);
  t.is(ends[0]?.outcome, RunOutcome.Interrupted);
  t.is(worker.ended[0]?.end, WorkerRunOutcome.Stopped);
});

test('an older list of dispatchers changes nothing', async t => {
  const { send, timers, received } = await startGateFixture();
  const known = { dispatcherId: 'dispatcher-1', address: dispatcherAddress };
  send({
    kind: ToWorkerKind.KnownDispatchers,
    version: 7,
    dispatchers: [known],
  });
  await timers.advance(500);
  t.is(received.at(-1)?.dispatcherListVersion, 7);
  send({ kind: ToWorkerKind.KnownDispatchers, version: 6, dispatchers: [] });
  await timers.advance(500);
  t.is(received.at(-1)?.dispatcherListVersion, 7);
});

test('a list without a version, of a dispatcher with an earlier program, counts before any other list and not after it', async t => {
  const { send, timers, gate } = await startGateFixture();
  const known = { dispatcherId: 'dispatcher-1', address: dispatcherAddress };
  const silent = {
    dispatcherId: 'dispatcher-2',
    address: { address: '10.0.0.2', port: 7_700 },
  };
  send({ kind: ToWorkerKind.KnownDispatchers, dispatchers: [known] });
  await timers.advance(500);
  t.is(gate.listSessions().length, 1);
  send({
    kind: ToWorkerKind.KnownDispatchers,
    version: 7,
    dispatchers: [known],
  });
  send({ kind: ToWorkerKind.KnownDispatchers, dispatchers: [silent] });
  await timers.advance(60_000);
  t.is(gate.listSessions().length, 1);
});
