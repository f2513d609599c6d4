/** Evacuations at one sidecar, whose dispatcher is controlled by the test. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createManualTimerService } from '@cranberryturn/timers';
import { RunEndReason, RunOutcome } from '@cranberryturn/types';
import { FromWorkerKind, ToWorkerKind } from '@cranberryturn/wire';
import test from 'ava';

import { EvacuationGuard } from './evacuation-guard.js';
import { type GateFixture, startGateFixture } from './fakes/gate-fixture.js';

const dataCentre = 'dong-da';

function sendEvacuations(
  { send }: GateFixture,
  version: number,
  dataCentres: readonly string[],
  isProved = true,
): void {
  const evacuations = dataCentres.map(name => ({
    dataCentre: name,
    since: 0,
  }));
  send({
    kind: ToWorkerKind.Evacuations,
    state: { version, evacuations },
    isProved,
  });
}

function listEnds({ ends }: GateFixture) {
  return ends.map(({ jobId, outcome, reason }) => [jobId, outcome, reason]);
}

test('a sidecar that has just started starts nothing before it knows a proved state', async t => {
  const fixture = await startGateFixture(2, true);
  const { place, timers, received, listStarts } = fixture;
  sendEvacuations(fixture, 3, [], false);
  place({ jobId: 'early' });
  await timers.advance(1_000);
  t.deepEqual(listEnds(fixture), [
    ['early', RunOutcome.NotStarted, RunEndReason.Evacuated],
  ]);
  t.like(received.at(-1), { evacuationVersion: 3, load: { closed: true } });
  sendEvacuations(fixture, 3, []);
  place({ jobId: 'later' });
  await timers.advance(50);
  t.deepEqual(listStarts(), ['later/1']);
});

test('a proved state of a lower version opens nothing that the highest version closes', async t => {
  const fixture = await startGateFixture(2, true);
  const { place, timers, listStarts } = fixture;
  sendEvacuations(fixture, 3, [dataCentre], false);
  sendEvacuations(fixture, 2, []);
  place({ jobId: 'job' });
  await timers.advance(5_000);
  t.deepEqual(listStarts(), []);
});

test('while control is lost, the highest version received counts after 3 s', async t => {
  const open = await startGateFixture(2, true);
  const evacuated = await startGateFixture(2, true);
  sendEvacuations(open, 3, ['elsewhere'], false);
  sendEvacuations(evacuated, 3, [dataCentre], false);
  for (const { timers, place } of [open, evacuated]) {
    await timers.advance(2_500);
    place({ jobId: 'early' });
    await timers.advance(600);
    place({ jobId: 'late' });
    await timers.advance(100);
  }
  t.deepEqual(open.listStarts(), ['late/1']);
  t.deepEqual(evacuated.listStarts(), []);
});

test('a sidecar without any dispatcher does not end its wait for a state', async t => {
  const fixture = await startGateFixture(2, true);
  const { network, timers, place, listStarts } = fixture;
  network.partition('sidecar-1', 'dispatcher-1');
  await timers.advance(5_000);
  network.heal('sidecar-1', 'dispatcher-1');
  for (const connection of network.connections) connection.disconnect();
  await timers.advance(2_000);
  place({ jobId: 'job' });
  await timers.advance(100);
  t.deepEqual(listStarts(), []);
});

test('the time for which a sidecar was suspended does not count as time without a proof', async t => {
  const timers = createManualTimerService();
  let suspendedMilliseconds = 0;
  const guard = new EvacuationGuard({
    isEnabled: true,
    timers: { ...timers, now: () => timers.now() + suspendedMilliseconds },
    logger: createSilentLogger(),
    countConnectedDispatchers: () => 1,
    changed: () => undefined,
  });
  const rule = guard.createRule(dataCentre);
  await timers.advance(1_000);
  suspendedMilliseconds = 5_000;
  await timers.advance(1_000);
  t.true(rule.isClosed());
  await timers.advance(1_000);
  t.false(rule.isClosed());
});

test('queued runs of an evacuated worker are returned at once, and running ones end normally', async t => {
  const fixture = await startGateFixture(1, true);
  const { place, timers, worker, received } = fixture;
  sendEvacuations(fixture, 1, []);
  worker.runMilliseconds = 300;
  place({ jobId: 'running' });
  place({ jobId: 'queued' });
  await timers.advance(50);
  sendEvacuations(fixture, 2, [dataCentre]);
  await timers.advance(5);
  const load = { closed: true, evacuated: true };
  t.like(received.at(-1), { evacuationVersion: 2, load });
  const returned = ['queued', RunOutcome.NotStarted, RunEndReason.Evacuated];
  t.deepEqual(listEnds(fixture), [returned]);
  await timers.advance(1_000);
  t.deepEqual(listEnds(fixture), [
    returned,
    ['running', RunOutcome.Done, undefined],
  ]);
});

test('a start order that the worker refused is not repeated once the evacuation has arrived', async t => {
  const fixture = await startGateFixture(1, true);
  const { place, timers, worker, listStarts } = fixture;
  sendEvacuations(fixture, 1, []);
  const startRun = worker.port.startRun.bind(worker.port);
  Object.assign(worker.port, {
    startRun: async (order: Parameters<typeof startRun>[0]) => {
      const reply = await startRun({ ...order, deadline: -1 });
      sendEvacuations(fixture, 2, [dataCentre]);
      await new Promise<void>(resolve => timers.after(5, resolve));
      return reply;
    },
  });
  place({ jobId: 'job' });
  await timers.advance(500);
  t.deepEqual(listEnds(fixture), [
    ['job', RunOutcome.NotStarted, RunEndReason.Evacuated],
  ]);
  t.deepEqual(listStarts(), []);
});

test('a withdrawal opens the worker and is reported without waiting for the next heartbeat', async t => {
  const fixture = await startGateFixture(1, true);
  const { place, timers, received, listStarts } = fixture;
  sendEvacuations(fixture, 1, [dataCentre]);
  await timers.advance(500);
  fixture.isRenewingLease = false;
  received.length = 0;
  sendEvacuations(fixture, 2, []);
  await timers.advance(3);
  t.like(received[0], { evacuationVersion: 2, load: { closed: false } });
  t.is(received[0]?.load.evacuated, undefined);
  place({ jobId: 'job' });
  await timers.advance(50);
  t.deepEqual(listStarts(), ['job/1']);
});

test('without the option a sidecar waits for nothing, refuses nothing, and sends the messages of earlier versions', async t => {
  const fixture = await startGateFixture(1);
  const { place, timers, received, listStarts } = fixture;
  sendEvacuations(fixture, 7, [dataCentre]);
  place({ jobId: 'job' });
  await timers.advance(1_000);
  t.deepEqual(listStarts(), ['job/1']);
  const list = (kind: FromWorkerKind) =>
    Object.keys(received.find(one => one.kind === kind) ?? {}).sort();
  const header = ['dispatcherListVersion', 'load', 'orders', 'stamp'];
  t.deepEqual(list(FromWorkerKind.Heartbeat), [...header, 'kind'].toSorted());
  t.deepEqual(
    list(FromWorkerKind.RunsEnded),
    [...header, 'ends', 'kind'].toSorted(),
  );
  t.deepEqual(Object.keys(received[0]?.load ?? {}).sort(), [
    'closed',
    'free',
    'runningWork',
    'waitingWork',
  ]);
});
