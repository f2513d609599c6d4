import { TimeoutError } from '@cranberryturn/errors';
import type { RosterFeed } from '@cranberryturn/membership';
import { createManualTimerService } from '@cranberryturn/timers';
import type { Roster } from '@cranberryturn/types';
import test from 'ava';

import { waitForRoster } from './wait-for-roster.js';

function createFeed(): RosterFeed & { publish(version: number): void } {
  const listeners = new Set<(roster: Roster) => void>();
  let roster: Roster = { version: 1, dispatchers: [], targets: [] };
  return {
    current: () => roster,
    subscribe: listener => {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    publish: version => {
      roster = { ...roster, version };
      for (const listener of listeners) listener(roster);
    },
  };
}

test('a roster that stays too old ends in a timeout error that names step and peer', async t => {
  const timers = createManualTimerService();
  const feed = createFeed();
  const waiting = waitForRoster(feed, 3, timers, 1_000);
  feed.publish(2);
  await timers.advance(1_000);
  const error = (await waiting)._unsafeUnwrapErr();
  t.true(error instanceof TimeoutError);
  t.is(error.step, 'wait for roster');
  t.is(error.peer, 'control');
  t.regex(error.message, /Roster 3 .* 2 is known/);
});

test('the wait ends as soon as the roster is new enough', async t => {
  const timers = createManualTimerService();
  const feed = createFeed();
  const waiting = waitForRoster(feed, 3, timers, 1_000);
  feed.publish(4);
  t.true((await waiting).isOk());
  t.true((await waitForRoster(feed, 4, timers, 0)).isOk());
});
