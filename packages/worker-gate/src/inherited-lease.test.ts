/** A run starts under no lease that an order to an earlier incarnation of its worker has given to the next one. */
import type { Milliseconds } from '@cranberryturn/types';
import { deriveRunValidity } from '@cranberryturn/wire';
import test from 'ava';

import { createWorkerRun, startGateFixture } from './fakes/gate-fixture.js';

/** Bounds under which the longest lease of a worker (1,000 ms) is longer than orders are valid (715 ms). */
const resendMilliseconds: Milliseconds = 900;
const validity = deriveRunValidity({
  resendMilliseconds,
  stopMilliseconds: 50,
  leaseMilliseconds: 1_000,
});
const tickMilliseconds: Milliseconds = 5;

// The deadline is one of the clock of the earlier incarnation, and that of the next one begins anew.
test('a late renewal of the earlier incarnation does not let a run outlive its dispatcher at the next one', async t => {
  const late: string[] = [];
  let starts = 0;
  for (let placeAfter = 10; placeAfter <= 610; placeAfter += 40) {
    const fixture = await startGateFixture(2, false, {
      dispatchers: 2,
      validity,
    });
    const { timers, dispatchers } = fixture;
    await timers.advance(10_000);
    fixture.worker.runMilliseconds = 10_000;
    dispatchers[1]?.place({ jobId: 'live' });
    await timers.advance(400);
    const executor = fixture.gate.getExecutor();
    const order = {
      fencingToken: executor?.options.fencing.token ?? 0,
      deadline: executor?.lease.deadline,
      acknowledgedSequence: 0,
      waitMilliseconds: 0,
    };
    const next = fixture.startIncarnation(createWorkerRun(2, 2));
    next.runMilliseconds = 10_000;
    // Orders name only the id of the worker, which the incarnations share.
    void next.port.renewLease(order);
    await timers.advance(tickMilliseconds);
    fixture.report(createWorkerRun(2, 2));
    await timers.advance(placeAfter);
    fixture.place({ jobId: 'job' });
    const sentEcho = dispatchers[0]?.sentEcho ?? 0;
    fixture.isRenewingLease = false;
    await timers.advance(2 * tickMilliseconds);
    fixture.freezeSidecar();
    let lastActiveAt = -Infinity;
    while (timers.now() < sentEcho + 3 * resendMilliseconds) {
      await timers.advance(tickMilliseconds);
      if (next.activeRuns.has('job.0.0.0')) lastActiveAt = timers.now();
    }
    if (next.starts.length > 0) starts += 1;
    const outlived = lastActiveAt - sentEcho;
    if (outlived > resendMilliseconds)
      late.push(
        `placed after ${String(placeAfter)} ms: ${String(outlived)} ms`,
      );
    fixture.gate.kill();
  }
  t.log(`${String(starts)} starts`);
  t.true(starts > 0);
  t.deepEqual(late, []);
});
