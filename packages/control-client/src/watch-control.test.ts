import {
  createManualTimerService,
  type TimerService,
} from '@cranberryturn/timers';
import {
  type ControlNotice,
  ControlNoticeKind,
  ControlReplyKind,
  type RemoteCalls,
} from '@cranberryturn/wire';
import test from 'ava';
import { ok, type Result, ResultAsync } from 'neverthrow';

import type { ControlHost } from './control-host.js';
import { createLatestState } from './latest-state.js';
import { watchControl } from './watch-control.js';

const fresh: ControlNotice = {
  kind: ControlNoticeKind.Freshness,
  proofAgeMilliseconds: 0,
  configurationVersion: 0,
};

test('a proof that was sent before a pause of this process does not count after it', async t => {
  const manual = createManualTimerService();
  let pause = 0;
  const timers: TimerService = { ...manual, now: () => manual.now() + pause };
  let reply: () => void = () => undefined;
  const calls = {
    connection: { peer: { name: 'c1' } },
    call: () =>
      new ResultAsync(
        new Promise<Result<unknown, Error>>(resolve => {
          reply = () => {
            resolve(ok({ kind: ControlReplyKind.Done, index: 1 }));
          };
        }),
      ),
  } as unknown as RemoteCalls;
  const host = {
    calls: () => calls,
    reconnect: () => undefined,
  } as unknown as ControlHost;
  const watch = watchControl({
    timers,
    hosts: () => [host],
    latest: createLatestState(),
    isStopped: () => false,
    firstHostPosition: 0,
  });
  await manual.advance(200);
  reply();
  await manual.settle();
  watch.handleNotice(host, fresh);
  t.is(watch.provedAt(), timers.now());
  pause = 5_000;
  watch.handleNotice(host, fresh);
  t.is(watch.provedAt(), undefined);
  reply();
  await manual.settle();
  watch.handleNotice(host, fresh);
  t.is(watch.provedAt(), timers.now());
});
