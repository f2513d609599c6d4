import { MemberRole } from '@cranberryturn/replicated-log';
import type { Publication } from '@cranberryturn/types';
import test from 'ava';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { ControlNode } from './control-node.js';
import {
  type ClusterFixture,
  getReplicaId,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';
import { maximumObservers, maximumVoters } from './group-view.js';

const joinMilliseconds = 3_000;

async function startGroup(): Promise<ClusterFixture> {
  return await startCluster({ size: 3, minimumVoters: 3 });
}

/** Replicas with a role, as the leader sees the group. */
function listReplicas(
  fixture: ClusterFixture,
  role: MemberRole,
): readonly string[] {
  return requireLeader(fixture)
    .log.status()
    .members.filter(member => member.role === role)
    .map(member => member.replicaId);
}

async function publish(
  { timers }: ClusterFixture,
  node: ControlNode,
  version: number,
): Promise<AdministrationReplyKind> {
  const reply = await settleWithin(
    timers,
    node.administer({
      method: AdministrationMethod.Publish,
      publication: { version, document: '{}' },
    }),
  );
  return reply.kind;
}

test('an observer passes on changes and reads, follows the log, and never becomes a voter', async t => {
  const fixture = await startGroup();
  const observer = await fixture.cluster.startObserver('c4');
  await fixture.timers.advance(joinMilliseconds);
  t.is(await publish(fixture, observer, 5), AdministrationReplyKind.Done);
  const read = await settleWithin(
    fixture.timers,
    observer.administer({ method: AdministrationMethod.ReadPublication }),
  );
  t.is(read.kind, AdministrationReplyKind.Done);
  if (read.kind === AdministrationReplyKind.Done)
    t.is((read.view as Publication).version, 5);
  await fixture.timers.advance(joinMilliseconds);
  t.is(observer.state.publication.version, 5);
  t.deepEqual(listReplicas(fixture, MemberRole.Voter), ['c1', 'c2', 'c3']);
  t.deepEqual(listReplicas(fixture, MemberRole.Observer), [
    getReplicaId(observer),
  ]);
});

test('an observer that restarts takes the place of its earlier identity', async t => {
  const fixture = await startGroup();
  for (let start = 1; start <= 3; start += 1) {
    await fixture.cluster.crash('c4');
    const observer = await fixture.cluster.startObserver('c4');
    await fixture.timers.advance(joinMilliseconds);
    t.deepEqual(listReplicas(fixture, MemberRole.Observer), [
      getReplicaId(observer),
    ]);
  }
});

test('an observer that is gone is removed', async t => {
  const fixture = await startGroup();
  await fixture.cluster.startObserver('c4');
  await fixture.timers.advance(joinMilliseconds);
  await fixture.cluster.crash('c4');
  await fixture.timers.advance(5_000);
  t.deepEqual(listReplicas(fixture, MemberRole.Observer), []);
});

test('a majority of voters acknowledges while more observers than voters are silent', async t => {
  const fixture = await startGroup();
  const observers = ['c4', 'c5', 'c6', 'c7'];
  for (const host of observers) await fixture.cluster.startObserver(host);
  await fixture.timers.advance(joinMilliseconds);
  t.is(listReplicas(fixture, MemberRole.Observer).length, observers.length);
  for (const host of observers) await fixture.cluster.crash(host);
  t.is(
    await publish(fixture, requireLeader(fixture), 7),
    AdministrationReplyKind.Done,
  );
});

test('observers do not keep a host with a disk from becoming a voter', async t => {
  const fixture = await startGroup();
  const { cluster, timers } = fixture;
  for (let number = 4; number < 4 + maximumVoters; number += 1)
    await cluster.startObserver(`c${String(number)}`);
  await timers.advance(joinMilliseconds);
  await cluster.startBlank('c20');
  await timers.advance(joinMilliseconds);
  t.is(listReplicas(fixture, MemberRole.Voter).length, 4);
});

test('the number of observers is limited', async t => {
  const fixture = await startGroup();
  for (let number = 4; number <= 4 + maximumObservers; number += 1)
    await fixture.cluster.startObserver(`c${String(number)}`);
  await fixture.timers.advance(2 * joinMilliseconds);
  t.is(listReplicas(fixture, MemberRole.Observer).length, maximumObservers);
});

test('a new host finds the group when the only seed that it knows is an observer', async t => {
  const fixture = await startGroup();
  const { cluster, timers } = fixture;
  await cluster.startObserver('c4');
  await timers.advance(joinMilliseconds);
  await cluster.startBlank('c5', ['c4']);
  await timers.advance(joinMilliseconds);
  t.is(listReplicas(fixture, MemberRole.Voter).length, 4);
});

test('after a power cut the group is found by hosts that know only seeds without a disk', async t => {
  const fixture = await startGroup();
  const { cluster, timers } = fixture;
  const [voters, observers] = [
    ['c1', 'c2', 'c3'],
    ['c4', 'c5', 'c6'],
  ];
  for (const host of observers) await cluster.startObserver(host);
  await timers.advance(joinMilliseconds);
  await publish(fixture, requireLeader(fixture), 9);
  for (const host of [...voters, ...observers]) await cluster.crash(host);
  for (const host of voters) await cluster.start(host, observers);
  for (const host of observers) await cluster.startObserver(host, observers);
  await timers.advance(1_000);
  const versions = observers.map(
    host => cluster.findNode(host)?.state.publication.version,
  );
  t.deepEqual(versions, [9, 9, 9]);
});

test('seeds that change while the leader runs learn where it is', async t => {
  const fixture = await startGroup();
  const { cluster, timers } = fixture;
  await publish(fixture, requireLeader(fixture), 9);
  const stranger = await cluster.startObserver('c4', []);
  await timers.advance(joinMilliseconds);
  t.is(stranger.state.publication.version, 0);
  for (const node of cluster.nodes()) node.changeSeeds([stranger.address]);
  await timers.advance(1_000);
  t.is(stranger.state.publication.version, 9);
});

test('a dispatcher whose seeds have forgotten the group is told where it is after a power cut', async t => {
  const fixture = await startGroup();
  const { cluster, timers } = fixture;
  const hosts = ['c1', 'c2', 'c3'];
  await cluster.startDispatcher('d1', 'run-1', hosts);
  await timers.advance(joinMilliseconds);
  await publish(fixture, requireLeader(fixture), 9);
  for (const host of hosts) await cluster.crash(host);
  await cluster.network.kill('d1');
  for (const host of hosts) await cluster.start(host);
  const dispatcher = await cluster.startDispatcher('d1', 'run-2', []);
  await timers.advance(1_000);
  t.is(dispatcher.publication.current().version, 9);
});
