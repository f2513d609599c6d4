import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { finishWithin } from './index.js';

test('work that ends in time is waited for, other work is not', async t => {
  const timers = createManualTimerService();
  t.true(await finishWithin(timers, 100, Promise.resolve()));
  let settled: boolean | undefined;
  void finishWithin(timers, 100, new Promise(() => undefined)).then(done => {
    settled = done;
  });
  await timers.advance(99);
  t.is(settled, undefined);
  await timers.advance(1);
  t.false(settled);
});

test('a stop that fails is told', async t => {
  const timers = createManualTimerService();
  const failing = Promise.reject(new Error('disk'));
  await t.throwsAsync(finishWithin(timers, 100, failing), { message: 'disk' });
});
