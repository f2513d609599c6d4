/** A renewal that does not reach the worker ends no run. */
import type { Milliseconds } from '@cranberryturn/types';
import test from 'ava';
import { ResultAsync } from 'neverthrow';

import type { FakeWorker } from './fakes/fake-worker-state.js';
import { type GateFixture, startGateFixture } from './fakes/gate-fixture.js';
import { failWithTimeout } from './fakes/worker-errors.js';
import type { RenewOrder } from './ports/worker.js';

const longRunMilliseconds: Milliseconds = 10_000;

/** Loses the next renewal that waits. */
function loseNextRenewal({ timers, worker }: GateFixture): void {
  const { port, run }: FakeWorker = worker;
  let isLost = false;
  Object.assign(worker, {
    port: {
      ...port,
      renewLease: (order: RenewOrder) => {
        if (isLost || order.waitMilliseconds === 0)
          return port.renewLease(order);
        isLost = true;
        return new ResultAsync(failWithTimeout(timers, run.workerId, order));
      },
    },
  });
}

// A sidecar that has just started waits 250 ms for replies, and a busy one may.
test('one lost renewal ends no run of a sidecar that has just started', async t => {
  const ended: string[] = [];
  for (let moment = 0; moment < 240; moment += 20) {
    const fixture = await startGateFixture(2);
    const { timers, worker } = fixture;
    worker.runMilliseconds = longRunMilliseconds;
    fixture.place({ jobId: 'job', remainingMilliseconds: 60_000 });
    await timers.advance(1_000 + moment);
    loseNextRenewal(fixture);
    await timers.advance(1_500);
    if (worker.activeRuns.size === 0) ended.push(`${String(moment)} ms`);
    fixture.gate.kill();
  }
  t.deepEqual(ended, []);
});
