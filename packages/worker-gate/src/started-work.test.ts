import type { RunOrder } from '@cranberryturn/types';
import test from 'ava';

import { StartedWork } from './started-work.js';

function createOrder(
  priority: number,
  processors: number,
  estimatedMilliseconds: number,
): RunOrder {
  return {
    jobId: 'job',
    requestId: 'job',
    dispatcher: 'dispatcher-1',
    service: 'register',
    specification: 'text',
    need: { processors, memoryMebibytes: 64, accelerators: 0 },
    priority,
    estimatedMilliseconds,
    dueMilliseconds: 500,
    remainingMilliseconds: 5_000,
    mayWait: true,
    tasks: [{ taskId: '0.0.0', run: 1 }],
  };
}

test('a steady stream of starts is measured as the processors that it needs, by priority', t => {
  const started = new StartedWork();
  // Ten tasks a second of 100 ms on 4 processors keep 4 processors busy.
  for (let now = 0; now < 10_000; now += 100) {
    started.recordStart(createOrder(0, 4, 100), now);
  }
  const [urgent = 0, other = 0] = started.measureRates(10_000);
  t.true(urgent > 3.5 && urgent < 4.5, `rate ${String(urgent)}`);
  t.is(other, 0);
});

test('the rate of a stream that has ended is forgotten within seconds', t => {
  const started = new StartedWork();
  started.recordStart(createOrder(1, 8, 1_000), 0);
  t.deepEqual(started.measureRates(0), [0, 8, 0, 0]);
  t.deepEqual(started.measureRates(5_000), [0, 0.1, 0, 0]);
});

test('priorities beyond the reported ones count as the least urgent', t => {
  const started = new StartedWork();
  started.recordStart(createOrder(9, 1, 1_000), 0);
  t.deepEqual(started.measureRates(0), [0, 0, 0, 1]);
});
