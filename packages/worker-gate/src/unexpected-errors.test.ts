import test from 'ava';

import type { FakeWorker } from './fakes/fake-worker-state.js';
import { startGateFixture } from './fakes/gate-fixture.js';

test.serial(
  'an unexpected error in a renewal neither ends the lease of the worker nor is hidden',
  async t => {
    const { timers, worker, gate, place } = await startGateFixture();
    // The test runner ends the process for an error that nothing caught, so its listeners are set aside.
    const listeners = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    const errors: unknown[] = [];
    process.on('uncaughtException', error => errors.push(error));
    const { renewLease } = worker.port;
    let isFailing = true;
    Object.assign(worker.port, {
      renewLease: (order: Parameters<typeof renewLease>[0]) => {
        if (!isFailing) return renewLease(order);
        isFailing = false;
        throw new TypeError('unexpected');
      },
    });
    worker.runMilliseconds = 3_000;
    place({ jobId: 'job' });
    await timers.advance(2_000);
    await new Promise(resolve => setImmediate(resolve));
    process.removeAllListeners('uncaughtException');
    for (const listener of listeners) process.on('uncaughtException', listener);
    t.is(errors.length, 1);
    t.is(worker.activeRuns.size, 1);
    gate.kill();
  },
);

/** Lets the next renewal throw. Resolves with the errors that nothing caught while `act` was running. */
async function failNextRenewal(
  worker: FakeWorker,
  act: () => Promise<void>,
): Promise<readonly unknown[]> {
  const listeners = process.listeners('uncaughtException');
  process.removeAllListeners('uncaughtException');
  const errors: unknown[] = [];
  process.on('uncaughtException', error => errors.push(error));
  const { renewLease } = worker.port;
  let isFailing = true;
  Object.assign(worker.port, {
    renewLease: (order: Parameters<typeof renewLease>[0]) => {
      if (!isFailing) return renewLease(order);
      isFailing = false;
      throw new TypeError('unexpected');
    },
  });
  await act();
  await new Promise(resolve => setImmediate(resolve));
  process.removeAllListeners('uncaughtException');
  for (const listener of listeners) process.on('uncaughtException', listener);
  return errors;
}

// Guards against a worker that is never announced.
test.serial(
  'an unexpected error in the first renewal does not keep the worker from being used',
  async t => {
    const fixture = await startGateFixture();
    const { timers, worker, place, listStarts } = fixture;
    fixture.gate.kill();
    const errors = await failNextRenewal(worker, async () => {
      fixture.restartGate();
      fixture.report(worker.run);
      await timers.advance(1_000);
      place({ jobId: 'job' });
      await timers.advance(200);
    });
    t.is(errors.length, 1);
    t.deepEqual(listStarts(), ['job/1']);
    fixture.gate.kill();
  },
);

// Guards against a worker at which no run starts any more.
test.serial(
  'an unexpected error after a jump of the wall clock does not keep runs from starting',
  async t => {
    const { timers, worker, gate, place, listStarts } =
      await startGateFixture();
    const wallClock = timers.wallClock.bind(timers);
    const errors = await failNextRenewal(worker, async () => {
      Object.assign(timers, { wallClock: () => wallClock() + 4_000 });
      place({ jobId: 'job' });
      await timers.advance(500);
    });
    t.is(errors.length, 1);
    t.deepEqual(listStarts(), ['job/1']);
    gate.kill();
  },
);
