import { defaultClaimRetention } from '@cranberryturn/claims';
import { defaultRosterRetention } from '@cranberryturn/membership';
import type { LogStatus } from '@cranberryturn/replicated-log';
import {
  createManualTimerService,
  type TimerService,
} from '@cranberryturn/timers';
import { type ControlNotice, ControlNoticeKind } from '@cranberryturn/wire';
import type { RemoteCalls } from '@cranberryturn/wire';
import test from 'ava';

import { createControlState } from './control-state.js';
import { createFollowerFeed } from './feed-followers.js';

test('a replica that was paused states no proof from heartbeats that arrived meanwhile', async t => {
  const manual = createManualTimerService();
  let pause = 0;
  const timers: TimerService = { ...manual, now: () => manual.now() + pause };
  const ages: number[] = [];
  const follower = {
    notify: (notice: ControlNotice) => {
      if (notice.kind === ControlNoticeKind.Freshness)
        ages.push(notice.proofAgeMilliseconds);
    },
  } as unknown as RemoteCalls;
  const feed = createFollowerFeed({
    timers,
    state: createControlState({
      claims: defaultClaimRetention,
      roster: defaultRosterRetention,
    }),
    // The heartbeats of the leader, read late, say that it was proved just now.
    status: () =>
      ({
        leadershipProvedAt: timers.now(),
        members: [],
      }) as unknown as LogStatus,
  });
  const versions = { configurationVersion: 0, rosterVersion: 0 };
  feed.addFollower(follower, { ...versions, publicationVersion: 0 });
  await manual.advance(400);
  pause = 5_000;
  await manual.advance(1_400);
  t.deepEqual(ages, [0, ...Array<number>(3).fill(Number.MAX_SAFE_INTEGER)]);
  await manual.advance(1_000);
  t.is(ages.at(-1), 0);
  feed.stop();
  t.is(manual.countPendingTimers(), 0);
});
