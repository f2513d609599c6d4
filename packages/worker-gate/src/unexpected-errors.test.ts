import test from 'ava';

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
