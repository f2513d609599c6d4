import { createManualTimerService } from '@cranberryturn/timers';
import type { Roster, TargetIdentity } from '@cranberryturn/types';
import { DispatcherMethod } from '@cranberryturn/wire';
import test from 'ava';
import { okAsync } from 'neverthrow';

import type { DispatcherLinks } from './dispatcher-links.js';
import { TargetInviter } from './invite-targets.js';
import { SessionSubsets } from './session-subsets.js';

const target: TargetIdentity = { targetId: 'worker-1', incarnation: 'run-1' };
const roster: Roster = {
  version: 1,
  dispatchers: [1, 2, 3].map(number => ({
    dispatcherId: `dispatcher-${String(number)}`,
    incarnation: 'run-1',
    address: { address: '127.0.0.1', port: 7_300 + number },
  })),
  targets: [
    {
      ...target,
      service: 'register-svc',
      host: 'host-1',
      rack: 'rack-1',
      dataCentre: 'dong-da',
      resources: { processors: 64, memoryMebibytes: 1_024, accelerators: 0 },
      slots: 8,
      connections: 64,
      registeredAt: 1,
    },
  ],
};

function createInviter() {
  const timers = createManualTimerService();
  const calls: string[] = [];
  const state = { isReachable: false };
  const feed = { current: () => roster, subscribe: () => () => undefined };
  const links: Pick<DispatcherLinks, 'call'> = {
    call: (address, call) => {
      checkMethod(call.method);
      calls.push(`${String(timers.now())} ms: port ${String(address.port)}`);
      return okAsync({ kind: 'invited' } as never);
    },
  };
  const inviter = new TargetInviter({
    self: 'dispatcher-1',
    roster: feed,
    subsets: new SessionSubsets(feed, undefined),
    links: links as DispatcherLinks,
    timers,
    isReachable: () => state.isReachable,
  });
  return { timers, calls, state, inviter };
}

function checkMethod(method: DispatcherMethod): void {
  if (method !== DispatcherMethod.InviteTargets) throw new Error(method);
}

test('a target that connects by itself is not invited', async t => {
  const { timers, calls, state, inviter } = createInviter();
  inviter.invite(target, 3_000);
  await timers.advance(100);
  state.isReachable = true;
  await timers.advance(10_000);
  t.deepEqual(calls, []);
});

test('the other dispatchers are asked in turn, once per second, until the timeout', async t => {
  const { timers, calls, inviter } = createInviter();
  const start = timers.now();
  inviter.invite(target, 3_000);
  await timers.advance(60_000);
  t.deepEqual(calls, [
    `${String(start + 200)} ms: port 7302`,
    `${String(start + 1_200)} ms: port 7303`,
    `${String(start + 2_200)} ms: port 7302`,
  ]);
});
