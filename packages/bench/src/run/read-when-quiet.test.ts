import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { readWhenQuiet } from './read-when-quiet.js';

test('one reading is taken after the last event, not at the end of the wait', async t => {
  const timers = createManualTimerService();
  let readings = 0;
  const reading = readWhenQuiet(timers, () => {
    readings += 1;
    return timers.now();
  });
  for (let event = 0; event < 50; event += 1) {
    reading.recordEvent();
    await timers.advance(20);
  }
  t.is(readings, 0);
  await timers.advance(30_000);
  t.is(reading.finish(), 1_080);
  t.is(readings, 1);
  reading.recordEvent();
  t.is(reading.finish(), timers.now());
});
