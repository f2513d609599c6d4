import test from 'ava';

import { chooseSessionPeers } from './choose-session-peers.js';

const sessions = 8;
/** Tasks of the largest job, and tasks that the smallest worker holds at a time. */
const jobTasks = 32;
const minimumSlots = 6;

function listNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}-${String(at)}`);
}

function choose(target: string, dispatchers: readonly string[]) {
  return chooseSessionPeers(target, dispatchers, sessions, name => name);
}

test('few peers are all chosen', t => {
  const dispatchers = listNames('dispatcher', sessions);
  t.deepEqual(choose('sidecar', dispatchers), dispatchers);
});

test('the choice does not depend on the order of the list', t => {
  const dispatchers = listNames('dispatcher', 40);
  t.deepEqual(
    choose('sidecar', dispatchers),
    choose('sidecar', dispatchers.toReversed()),
  );
});

test('160 targets with 8 of 40 dispatchers each: every dispatcher has workers for a job of 32 tasks, and not many more than the others', t => {
  const dispatchers = listNames('dispatcher', 40);
  const targets = listNames('sidecar', 160);
  const counts = new Map(dispatchers.map(name => [name, 0]));
  for (const target of targets) {
    for (const name of choose(target, dispatchers))
      counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const mean = (targets.length * sessions) / dispatchers.length;
  for (const [name, count] of counts) {
    t.true(
      count * minimumSlots >= jobTasks * 4,
      `${name} has ${String(count)} targets`,
    );
    t.true(count <= mean * 1.7, `${name} has ${String(count)} targets`);
  }
});

test('a dispatcher that leaves moves only its own sessions', t => {
  const dispatchers = listNames('dispatcher', 40);
  const rest = dispatchers.slice(1);
  for (const target of listNames('sidecar', 160)) {
    const before = choose(target, dispatchers);
    const after = choose(target, rest);
    const kept = before.filter(name => after.includes(name));
    const expected = before.includes('dispatcher-0') ? sessions - 1 : sessions;
    t.is(kept.length, expected);
  }
});
