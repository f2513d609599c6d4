import test from 'ava';

import { createManualTimerService } from './manual-timer-service.js';
import { sleep } from './timer-service.js';

test('timers fire in order of due time, then of subscription', async t => {
  const timers = createManualTimerService();
  const order: string[] = [];
  timers.after(20, () => order.push('late'));
  timers.after(10, () => order.push('first'));
  timers.after(10, () => order.push('second'));
  const repeating = timers.every(15, () => order.push('repeating'));
  await timers.advance(31);
  repeating.cancel();
  await timers.advance(100);
  t.deepEqual(order, ['first', 'second', 'repeating', 'late', 'repeating']);
  t.is(timers.now(), 131);
});

test('time advances only by calls to advance', async t => {
  const timers = createManualTimerService();
  let done = false;
  const sleeping = sleep(timers, 5).then(() => {
    done = true;
  });
  await timers.advance(4);
  t.false(done);
  await timers.advance(1);
  t.true(done);
  await sleeping;
});
