import type { EvacuationOrderView } from '@cranberryturn/configuration';
import { createSilentLogger } from '@cranberryturn/logger';
import type { EvacuationState } from '@cranberryturn/types';
import test, { type ExecutionContext } from 'ava';

import {
  AdministrationMethod,
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { ControlNode } from './control-node.js';
import {
  assertRefused,
  type ClusterFixture,
  electionMilliseconds,
  getReplicaId,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';

const dataCentres = ['east', 'west'];
const hosts = ['c1', 'c2', 'c3'];

async function start(): Promise<ClusterFixture> {
  return await startCluster({ dataCentres });
}

function submitOrder(
  node: ControlNode,
  isEvacuated: boolean,
  callerLeft = new AbortController().signal,
): Promise<AdministrationReply> {
  const request = { dataCentre: 'east', isEvacuated, callerLeft };
  if (node.evacuations === undefined) throw new Error('Evacuations are off.');
  return node.evacuations.order(request);
}

async function order(
  { timers }: ClusterFixture,
  node: ControlNode,
  isEvacuated: boolean,
): Promise<AdministrationReply> {
  return await settleWithin(timers, submitOrder(node, isEvacuated));
}

async function list(
  { timers }: ClusterFixture,
  node: ControlNode,
): Promise<EvacuationState | undefined> {
  const reply = await settleWithin(
    timers,
    node.administer({ method: AdministrationMethod.ListEvacuations }),
  );
  return reply.kind === AdministrationReplyKind.Done
    ? (reply.view as EvacuationState)
    : undefined;
}

function listFollowers(
  fixture: ClusterFixture,
): readonly [ControlNode, ControlNode] {
  const leader = requireLeader(fixture);
  const followers = fixture.cluster.nodes().filter(node => node !== leader);
  return followers as unknown as readonly [ControlNode, ControlNode];
}

/** Advances the clock until the leader has applied the first order. */
async function awaitCommit(fixture: ClusterFixture): Promise<void> {
  const leader = requireLeader(fixture);
  while (leader.state.evacuations.state.version === 0)
    await fixture.timers.advance(1);
}

function assertAcknowledged(
  t: ExecutionContext,
  reply: AdministrationReply,
  expected: { readonly version: number; readonly changed: boolean },
): void {
  t.is(reply.kind, AdministrationReplyKind.Done);
  if (reply.kind !== AdministrationReplyKind.Done) return;
  t.like(reply.view as EvacuationOrderView, expected);
}

test('any replica takes an order, and every replica lists it', async t => {
  const fixture = await start();
  const [first, second] = listFollowers(fixture);
  assertAcknowledged(t, await order(fixture, first, true), {
    version: 1,
    changed: true,
  });
  for (const node of fixture.cluster.nodes()) {
    const state = await list(fixture, node);
    t.deepEqual(
      state?.evacuations.map(({ dataCentre }) => dataCentre),
      ['east'],
    );
  }
  await fixture.timers.advance(200);
  assertAcknowledged(t, await order(fixture, second, false), {
    version: 2,
    changed: true,
  });
  t.deepEqual((await list(fixture, first))?.evacuations, []);
});

test('an order whose acknowledgement was lost is acknowledged through another replica', async t => {
  const fixture = await start();
  const [first, second] = listFollowers(fixture);
  void submitOrder(first, true);
  await awaitCommit(fixture);
  await fixture.cluster.crash(getReplicaId(first));
  assertAcknowledged(t, await order(fixture, second, true), {
    version: 1,
    changed: false,
  });
});

test('an order is refused while its leader is lost, and acknowledged after the election', async t => {
  const fixture = await start();
  const [first] = listFollowers(fixture);
  const leader = getReplicaId(requireLeader(fixture));
  const submitted = submitOrder(first, true);
  await awaitCommit(fixture);
  await fixture.cluster.crash(leader);
  const lost = await settleWithin(fixture.timers, submitted);
  assertRefused(t, lost, AdministrationReplyKind.Unavailable);
  await fixture.timers.advance(electionMilliseconds);
  assertAcknowledged(t, await order(fixture, first, true), {
    version: 1,
    changed: false,
  });
});

test('an order that was delayed on the way to the leader does not undo a withdrawal', async t => {
  const fixture = await start();
  const [, second] = listFollowers(fixture);
  await order(fixture, second, true);
  await fixture.timers.advance(200);
  await order(fixture, second, false);
  const delayed = await settleWithin(
    fixture.timers,
    requireLeader(fixture).administerLocally({
      method: AdministrationMethod.OrderEvacuation,
      order: { dataCentre: 'east', isEvacuated: true, knownIndex: 0 },
      requestId: 'delayed',
    }),
  );
  const error = assertRefused(t, delayed, AdministrationReplyKind.Unavailable);
  t.regex(error, /was acknowledged after this one had arrived/);
  t.like(await list(fixture, second), { version: 2, evacuations: [] });
});

test('without a majority an order is refused at every replica', async t => {
  const fixture = await start();
  const leader = requireLeader(fixture);
  for (const host of hosts) fixture.cluster.cutFromReplicas(host);
  for (const node of [leader, ...listFollowers(fixture)]) {
    const reply = await order(fixture, node, true);
    assertRefused(t, reply, AdministrationReplyKind.Unavailable);
  }
  t.is(await list(fixture, leader), undefined);
});

test('evacuations survive the restart of all replicas', async t => {
  const fixture = await start();
  await order(fixture, requireLeader(fixture), true);
  for (const host of hosts) await fixture.cluster.crash(host);
  for (const host of hosts) await fixture.cluster.start(host);
  const client = fixture.cluster.connect('d1');
  await fixture.timers.advance(electionMilliseconds);
  t.like(await list(fixture, requireLeader(fixture)), { version: 1 });
  t.is(client.evacuations.current().evacuations[0]?.dataCentre, 'east');
});

test('an order that would change the state is dropped when its caller leaves during the hold', async t => {
  const fixture = await start();
  const leader = requireLeader(fixture);
  const caller = new AbortController();
  const submitted = submitOrder(leader, true, caller.signal);
  await fixture.timers.advance(49);
  caller.abort();
  const reply = await settleWithin(fixture.timers, submitted);
  assertRefused(t, reply, AdministrationReplyKind.Unavailable);
  await fixture.timers.advance(1_000);
  t.is(leader.state.evacuations.state.version, 0);
});

test('only an order that would change the state is held', async t => {
  const fixture = await start();
  const leader = requireLeader(fixture);
  for (const [isEvacuated, isHeld] of [
    [true, true],
    [true, false],
    [false, true],
    [false, false],
  ] as const) {
    const startedAt = fixture.timers.now();
    await order(fixture, leader, isEvacuated);
    t.is(fixture.timers.now() - startedAt >= 50, isHeld);
  }
});

test('a data centre that the settings do not name is refused, and without the setting there is no service', async t => {
  const fixture = await start();
  const leader = requireLeader(fixture);
  const reply = await leader.evacuations?.order({
    dataCentre: 'north',
    isEvacuated: true,
    callerLeft: new AbortController().signal,
  });
  t.is(reply?.kind, AdministrationReplyKind.Invalid);
  const { cluster } = await startCluster();
  t.true(cluster.nodes().every(node => node.evacuations === undefined));
});

test('an evacuation can be withdrawn after its data centre was removed from the settings', async t => {
  const fixture = await start();
  const leader = requireLeader(fixture);
  await settleWithin(
    fixture.timers,
    leader.administerLocally({
      method: AdministrationMethod.OrderEvacuation,
      order: { dataCentre: 'north', isEvacuated: true, knownIndex: 0 },
      requestId: 'earlier settings',
    }),
  );
  const withdraw = async (): Promise<AdministrationReply | undefined> =>
    await settleWithin(
      fixture.timers,
      Promise.resolve(
        leader.evacuations?.order({
          dataCentre: 'north',
          isEvacuated: false,
          callerLeft: new AbortController().signal,
        }),
      ),
    );
  t.is((await withdraw())?.kind, AdministrationReplyKind.Done);
  t.like(await list(fixture, leader), { version: 2, evacuations: [] });
  t.is((await withdraw())?.kind, AdministrationReplyKind.Invalid);
});

test('the steps of an order are logged under one request identifier', async t => {
  const logger = createSilentLogger();
  const lines: unknown[] = [];
  logger.info = (message, fields) => {
    if (message.startsWith('evacuation')) lines.push([message, fields]);
  };
  const fixture = await startCluster({ size: 1, dataCentres, logger });
  const leader = requireLeader(fixture);
  await order(fixture, leader, true);
  await order(fixture, leader, false);
  await leader.evacuations?.order({
    dataCentre: 'north',
    isEvacuated: true,
    callerLeft: new AbortController().signal,
  });
  t.snapshot(lines);
});
