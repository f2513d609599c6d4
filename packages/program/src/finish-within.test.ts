import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { finishWithin } from './index.js';

test('the result is true for work done in time, and false after the timeout', async t => {
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

test('a rejection of the work is passed on', async t => {
  const timers = createManualTimerService();
  const failing = Promise.reject(new Error('disk'));
  await t.throwsAsync(finishWithin(timers, 100, failing), { message: 'disk' });
});
