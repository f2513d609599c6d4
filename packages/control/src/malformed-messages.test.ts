import { ClaimOutcomeKind, type NetworkAddress } from '@cranberryturn/types';
import { ProcessRole, serveRemoteCalls } from '@cranberryturn/wire';
import test, { type ExecutionContext } from 'ava';

import { isPeerMessage } from './adapters/check-peer-messages.js';
import {
  type ClusterFixture,
  claimJob,
  composeClaim,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';

const claim = composeClaim('job-1', 'd1');
const target = {
  targetId: 't1',
  incarnation: '1',
  service: 'lookup',
  host: 'h1',
  rack: 'r1',
  dataCentre: 'north',
  resources: { processors: 1, memoryMebibytes: 1, accelerators: 0 },
  slots: 1,
  connections: 1,
};

const malformedCalls: readonly unknown[] = [
  null,
  'text',
  7,
  {},
  { method: 'unknown' },
  { method: 'claim' },
  { method: 'claim', claim: { ...claim, owner: null } },
  { method: 'claim', claim: { ...claim, submittedAt: NaN } },
  { method: 'adopt', adopt: claim },
  { method: 'adopt', adopt: { ...claim, expectedEpoch: 1e300 } },
  { method: 'finish-claims', finished: null },
  { method: 'finish-claims', finished: [null] },
  { method: 'register-dispatcher', dispatcher: { dispatcherId: 'd1' } },
  { method: 'retire-dispatcher' },
  { method: 'register-target', target: { ...target, slots: NaN } },
  { method: 'register-target', target: { ...target, resources: 'text' } },
  { method: 'retire-target', target: 'text' },
  { method: 'watch', configurationVersion: NaN },
];

const malformedReports: readonly unknown[] = [
  null,
  {},
  { dispatcher: null, configurationVersion: 1, targetsBehind: [] },
];

const malformedEnvelopes: readonly unknown[] = [
  null,
  {},
  { kind: 'unknown' },
  { kind: 'log', from: 'c1', message: null },
  { kind: 'log', from: 'c1', message: { kind: 'vote', to: 'c1', term: NaN } },
  { kind: 'log', from: 'c1', message: { kind: 'vote', to: 'c1', term: 99 } },
  {
    kind: 'log',
    from: 'c1',
    message: {
      kind: 'append-entries',
      to: 'c1',
      term: 99,
      previous: { index: 0, term: 0 },
      entries: [{ index: 1, term: 99, leaderTime: 1, kind: 'command' }],
      commitIndex: 1,
    },
  },
  { kind: 'administration', call: null },
  { kind: 'administration', call: { method: 'confirm', request: {} } },
  {
    kind: 'administration',
    call: { method: 'publish', publication: { version: NaN, document: '' } },
  },
  { kind: 'enlist', candidate: { replicaId: 'c9' } },
  { kind: 'leader-announcement', leader: 'text' },
];

/** Sends one body over a connection of its own, and asserts that the replica closes it. */
async function assertClosed(
  t: ExecutionContext,
  { timers, cluster }: ClusterFixture,
  address: NetworkAddress,
  sender: { readonly role: ProcessRole; readonly isNotice?: boolean },
  body: unknown,
): Promise<void> {
  const network = cluster.network.join({
    role: sender.role,
    name: 'faulty',
    incarnation: '1',
  });
  const dialled = await settleWithin(timers, network.dial(address));
  const calls = serveRemoteCalls(dialled._unsafeUnwrap(), timers, {
    handleCall: () => Promise.resolve(undefined),
  });
  if (sender.isNotice === true) {
    calls.notify(body);
  } else {
    const reply = await settleWithin(timers, calls.call(body, 1_000));
    t.is(
      reply._unsafeUnwrapErr().name,
      'ConnectionError',
      JSON.stringify(body),
    );
  }
  await settleWithin(timers, calls.ended);
}

function captureStates({ cluster }: ClusterFixture): readonly string[] {
  return cluster
    .nodes()
    .map(({ state }) => Buffer.from(state.snapshot()).toString('base64'));
}

test('malformed calls, reports and peer messages change the state of no replica', async t => {
  const fixture = await startCluster();
  const { cluster, timers } = fixture;
  const client = cluster.connect('d1');
  await timers.advance(1_000);
  await claimJob(fixture, client, 'before', 'd1');
  await timers.advance(1_000);
  const states = captureStates(fixture);
  const { term } = requireLeader(fixture).log.status();
  const { address } = requireLeader(fixture);
  const dispatcher = { role: ProcessRole.Dispatcher };
  for (const call of malformedCalls) {
    await assertClosed(t, fixture, address, dispatcher, call);
  }
  const reporter = { role: ProcessRole.Dispatcher, isNotice: true };
  for (const report of malformedReports) {
    await assertClosed(t, fixture, address, reporter, report);
  }
  for (const envelope of malformedEnvelopes) {
    const replica = { role: ProcessRole.Control };
    await assertClosed(t, fixture, address, replica, envelope);
  }
  await timers.advance(2_000);
  t.deepEqual(captureStates(fixture), states);
  t.is(requireLeader(fixture).log.status().term, term);
  const claimed = await claimJob(fixture, client, 'after', 'd1');
  t.is(claimed, ClaimOutcomeKind.Granted);
});

test('a heartbeat of a leader that is the only voter passes, although its proof is newer than itself', t => {
  const heartbeat = { kind: 'heartbeat', to: 'c1', term: 1, commitIndex: 0 };
  t.true(isPeerMessage({ ...heartbeat, proofAge: -0.01 }));
  t.false(isPeerMessage({ ...heartbeat, proofAge: NaN }));
});
