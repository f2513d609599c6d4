import { defaultClaimRetention } from '@cranberryturn/claims';
import { defaultRosterRetention } from '@cranberryturn/membership';
import type { LogStatus } from '@cranberryturn/replicated-log';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import {
  type ControlNotice,
  ControlNoticeKind,
  type RemoteCalls,
} from '@cranberryturn/wire';
import test from 'ava';

import { encodeOperations, OperationKind } from './control-operations.js';
import { createControlState } from './control-state.js';
import { createMemoryLog } from './fakes/memory-log.js';
import { createFollowerFeed } from './feed-followers.js';

/** Creates the feed of a replica whose proofs the test sets, after an order and a publication. */
function startFeed(proofs: Partial<LogStatus> = {}) {
  const clock = createManualTimerService();
  const suspension = { milliseconds: 0 };
  const timers: ManualTimerService = {
    ...clock,
    now: () => clock.now() + suspension.milliseconds,
  };
  const state = createControlState({
    claims: defaultClaimRetention,
    roster: defaultRosterRetention,
  });
  const log = createMemoryLog({ replicaId: 'c1', stateMachine: state, timers });
  void log.propose(
    encodeOperations([
      {
        kind: OperationKind.Publish,
        publication: { version: 3, document: '{}' },
      },
      {
        kind: OperationKind.Evacuate,
        order: { dataCentre: 'east', isEvacuated: true, knownIndex: 0 },
        requestId: 'r',
      },
    ]),
  );
  const status = () => ({ ...log.status(), ...proofs });
  const feed = createFollowerFeed({ timers, state, status });
  const follow = (evacuationVersion: number | undefined) => {
    const notices: ControlNotice[] = [];
    const calls: Pick<RemoteCalls, 'notify'> = {
      notify: body => notices.push(body as ControlNotice),
    };
    feed.addFollower(calls as RemoteCalls, {
      configurationVersion: -1,
      rosterVersion: -1,
      publicationVersion: -1,
      evacuationVersion,
    });
    return notices;
  };
  return { timers, suspension, feed, follow };
}

test('evacuations go ahead of the publication, and the whole state ahead of the proof', t => {
  const { feed, follow } = startFeed();
  const notices = follow(-1);
  const kinds = notices.map(({ kind }) => kind);
  t.is(kinds[0], ControlNoticeKind.Evacuations);
  t.true(kinds.includes(ControlNoticeKind.Publication));
  t.is(kinds.at(-1), ControlNoticeKind.Freshness);
  t.like(notices[0], { state: { version: 1 } });
  feed.stop();
});

test('a follower that names no version of the evacuations, or the current one, is sent none', t => {
  const { feed, follow } = startFeed();
  for (const version of [undefined, 1]) {
    const kinds = follow(version).map(({ kind }) => kind);
    t.true(kinds.includes(ControlNoticeKind.Publication));
    t.false(kinds.includes(ControlNoticeKind.Evacuations));
  }
  feed.stop();
});

test('nothing is sent while entries that were committed at the proof are on their way', async t => {
  const proofs: { stateProvedAt?: number | undefined } = {
    stateProvedAt: undefined,
  };
  const { timers, feed, follow } = startFeed(proofs);
  const notices = follow(-1);
  await timers.advance(2_000);
  t.true(notices.every(({ kind }) => kind === ControlNoticeKind.Freshness));
  t.true(
    notices.every(
      notice =>
        notice.kind === ControlNoticeKind.Freshness &&
        notice.proofAgeMilliseconds > 1_500,
    ),
  );
  notices.length = 0;
  proofs.stateProvedAt = timers.now();
  await timers.advance(30);
  t.is(notices[0]?.kind, ControlNoticeKind.Evacuations);
  t.like(notices.at(-1), {
    kind: ControlNoticeKind.Freshness,
    proofAgeMilliseconds: 20,
  });
  feed.stop();
});

test('after a suspension, proofs that had arrived meanwhile do not count', async t => {
  const proofs: { stateProvedAt?: number } = { stateProvedAt: 0 };
  const { timers, suspension, feed, follow } = startFeed(proofs);
  await timers.advance(499);
  suspension.milliseconds = 5_000;
  await timers.advance(1);
  // Read from a buffer that was filled five seconds ago.
  proofs.stateProvedAt = timers.now();
  const notices = follow(-1);
  await timers.advance(260);
  t.deepEqual(
    notices.map(({ kind }) => kind),
    [ControlNoticeKind.Freshness],
  );
  proofs.stateProvedAt = timers.now();
  await timers.advance(240);
  t.is(notices[1]?.kind, ControlNoticeKind.Evacuations);
  feed.stop();
});
