/** A run is reported as ended only once the worker does not execute it, and runs of others are not lost meanwhile. */
import { RunOutcome } from '@cranberryturn/types';
import { defaultExecutionBounds, deriveRunValidity } from '@cranberryturn/wire';
import test from 'ava';

import { startGateFixture } from './fakes/gate-fixture.js';

const longRunMilliseconds = 10_000;
const placed = 150;

test('a planned stop reports no run as ended that the worker still executes', async t => {
  for (const isSilent of [false, true]) {
    const { gate, worker, timers, place, ends } = await startGateFixture(1);
    worker.runMilliseconds = longRunMilliseconds;
    place({ jobId: 'job' });
    await timers.advance(200);
    worker.isSilent = isSilent;
    void gate.stop(200);
    for (let elapsed = 0; elapsed < 600; elapsed += 5) {
      await timers.advance(5);
      t.false(ends.length > 0 && worker.activeRuns.size > 0);
    }
    t.is(ends.length, isSilent ? 0 : 1);
  }
});

test('a worker that does not answer has no run reported as ended that starts later, also where callers come back late', async t => {
  const validity = deriveRunValidity({
    ...defaultExecutionBounds,
    resendMilliseconds: 3_000,
  });
  for (const delay of [500, 1_000, 1_500, 2_000]) {
    const { gate, worker, timers, place, ends } = await startGateFixture(
      1,
      false,
      { validity },
    );
    worker.runMilliseconds = longRunMilliseconds;
    worker.nextStartDelayMilliseconds = delay;
    place({ jobId: 'job' });
    await timers.advance(2);
    worker.isSilent = true;
    for (let elapsed = 0; elapsed < 4_000; elapsed += 5) {
      await timers.advance(5);
      t.false(ends.length > 0 && worker.activeRuns.size > 0);
    }
    t.is(ends.length, 1);
    gate.kill();
  }
});

test('queued runs wait while a run without a lease is stopped, and are not sent back', async t => {
  const fixture = await startGateFixture(placed, false, { dispatchers: 2 });
  const { gate, network, worker, timers, dispatchers } = fixture;
  const [lost, live] = dispatchers;
  worker.runMilliseconds = longRunMilliseconds;
  lost?.place({ jobId: 'lost' });
  await timers.advance(100);
  worker.shouldLoseNextStop = true;
  network.partition('sidecar-1', lost?.name ?? '');
  worker.runMilliseconds = 20;
  for (let number = 0; number < placed; number += 1) {
    live?.place({ jobId: `live-${String(number)}`, mayWait: false });
    await timers.advance(10);
  }
  t.deepEqual(
    live?.ends.filter(end => end.outcome === RunOutcome.NotStarted),
    [],
  );
  await timers.advance(100);
  t.is(live?.ends.length, placed);
  gate.kill();
});

test('a session that breaks and resumes twice in a short time keeps its runs', async t => {
  const { gate, network, worker, timers, place } = await startGateFixture(1);
  worker.runMilliseconds = longRunMilliseconds;
  place({ jobId: 'job' });
  await timers.advance(200);
  for (const pause of [299, 1_000]) {
    for (const connection of network.connections) connection.disconnect();
    await timers.advance(pause);
  }
  t.is(worker.activeRuns.size, 1);
  gate.kill();
});
