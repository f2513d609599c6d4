import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import {
  createSidecarStamps,
  EchoedStamps,
  type SidecarStamps,
} from './echoed-stamps.js';

test('a stamp is echoed only once the events that had arrived before it have been handled', async t => {
  const manual = createManualTimerService();
  const handled: (() => void)[] = [];
  const advanced: SidecarStamps[] = [];
  const stamps = createSidecarStamps();
  const echoed = new EchoedStamps<SidecarStamps>({
    timers: {
      ...manual,
      afterPendingEvents: callback => {
        handled.push(callback);
        return { cancel: () => undefined };
      },
    },
    advanced: one => {
      advanced.push({ ...one });
    },
  });
  echoed.receive(stamps, 10);
  await manual.advance(500);
  // Arrives while the events before the first stamp are handled, and waits for those before itself.
  echoed.receive(stamps, 20);
  t.deepEqual(advanced, []);
  handled.shift()?.();
  await manual.advance(500);
  t.deepEqual(
    advanced.map(({ echo, echoReceivedAt }) => [echo, echoReceivedAt]),
    [[10, 0]],
  );
  t.is(stamps.echo, 10);
  handled.shift()?.();
  t.is(stamps.echo, 20);
  t.is(stamps.echoReceivedAt, 500);
  echoed.receive(stamps, 15);
  await manual.advance(500);
  t.is(handled.length, 0);
});
