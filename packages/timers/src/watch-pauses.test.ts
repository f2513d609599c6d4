import test from 'ava';

import { createManualTimerService } from './manual-timer-service.js';
import type { TimerService } from './timer-service.js';
import { watchPauses } from './watch-pauses.js';

test('late timers and a clock that stood still count as a pause, small delays do not', async t => {
  const manual = createManualTimerService();
  let jump = 0;
  let wallJump = 0;
  const timers: TimerService = {
    ...manual,
    now: () => manual.now() + jump,
    wallClock: () => manual.wallClock() + jump + wallJump,
  };
  const watch = watchPauses(timers, 1_000);
  await manual.advance(5_000);
  jump += 600;
  t.false(watch.hasPausedSince(0));
  jump += 5_000;
  t.true(watch.hasPausedSince(timers.now()));
  await manual.advance(1_000);
  t.true(watch.hasPausedSince(0));
  t.false(watch.hasPausedSince(timers.now()));
  wallJump += 5_000;
  t.true(watch.hasPausedSince(timers.now()));
  t.is(watch.countPauses(), 2);
  watch.cancel();
  t.is(manual.countPendingTimers(), 0);
});
