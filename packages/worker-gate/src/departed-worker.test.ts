import { RunEndReason } from '@cranberryturn/types';
import test from 'ava';

import { createWorkerRun, startGateFixture } from './fakes/gate-fixture.js';

test('a report that is delivered again after the worker left does not bring it back', async t => {
  const { gate, timers, place, ends } = await startGateFixture(1);
  const report = {
    worker: createWorkerRun(1),
    bornAt: 1,
    sequence: 7,
    draining: false,
  };
  t.true(gate.workerReported(report));
  gate.workerLeft('worker-1');
  t.false(gate.workerReported(report));
  await timers.advance(200);
  place({ jobId: 'job' });
  await timers.advance(200);
  t.is(ends[0]?.reason, RunEndReason.WorkerGone);
  t.true(gate.workerReported({ ...report, sequence: 8 }));
  t.not(gate.getExecutor(), undefined);
});
