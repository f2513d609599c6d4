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

/** Starts a watch of one host. Each call waits until its reply is sent; `pause` advances the clock, but no timer. */
function startWatch() {
  const manual = createManualTimerService();
  let paused = 0;
  const timers: TimerService = { ...manual, now: () => manual.now() + paused };
  const replies: (() => void)[] = [];
  const calls = {
    connection: { peer: { name: 'c1' } },
    call: () =>
      new ResultAsync(
        new Promise<Result<unknown, Error>>(resolve => {
          replies.push(() => {
            resolve(ok({ kind: ControlReplyKind.Done, index: 1 }));
          });
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
  return {
    timers,
    watch,
    advance: manual.advance,
    pause: (milliseconds: number) => {
      paused += milliseconds;
    },
    reply: async (call: number) => {
      replies[call]?.();
      await manual.settle();
    },
    receiveProof: () => {
      watch.handleNotice(host, fresh);
    },
  };
}

test('a proof that was sent before a pause of this process does not count after it', async t => {
  const fixture = startWatch();
  const { timers, watch } = fixture;
  await fixture.advance(200);
  await fixture.reply(0);
  fixture.receiveProof();
  t.is(watch.provedAt(), timers.now());
  fixture.pause(5_000);
  fixture.receiveProof();
  t.is(watch.provedAt(), undefined);
  await fixture.reply(1);
  fixture.receiveProof();
  t.is(watch.provedAt(), timers.now());
});

test('a reply to a call made before a pause of this process does not let a proof from the pause count', async t => {
  const fixture = startWatch();
  const { timers, watch } = fixture;
  await fixture.advance(200);
  fixture.pause(1_200);
  fixture.receiveProof();
  await fixture.reply(0);
  fixture.receiveProof();
  t.is(watch.provedAt(), undefined);
  await fixture.reply(1);
  fixture.receiveProof();
  t.is(watch.provedAt(), timers.now());
});
