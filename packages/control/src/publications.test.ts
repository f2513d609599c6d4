import type { Publication } from '@cranberryturn/types';
import test from 'ava';

import {
  AdministrationMethod,
  type AdministrationReply,
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

function publishVersion(
  { timers }: ClusterFixture,
  node: ControlNode,
  version: number,
  text = 'first',
): Promise<AdministrationReply> {
  const publication = { version, document: JSON.stringify({ version, text }) };
  return settleWithin(
    timers,
    node.administer({ method: AdministrationMethod.Publish, publication }),
  );
}

async function readPublication(
  { timers }: ClusterFixture,
  node: ControlNode,
): Promise<Publication | undefined> {
  const reply = await settleWithin(
    timers,
    node.administer({ method: AdministrationMethod.ReadPublication }),
  );
  return reply.kind === AdministrationReplyKind.Done
    ? (reply.view as Publication)
    : undefined;
}

function requireFollower({ cluster }: ClusterFixture): ControlNode {
  const leader = requireLeader({ cluster } as ClusterFixture);
  const follower = cluster.nodes().find(node => node !== leader);
  if (follower === undefined) throw new Error('The cluster has no follower.');
  return follower;
}

test('the highest published version is in force, and lower or equal versions are ignored', async t => {
  const fixture = await startCluster();
  const leader = requireLeader(fixture);
  await publishVersion(fixture, leader, 7);
  const older = await publishVersion(fixture, leader, 3);
  const equal = await publishVersion(fixture, leader, 7, 'other');
  t.is(older.kind, AdministrationReplyKind.Done);
  t.is(equal.kind, AdministrationReplyKind.Done);
  t.deepEqual(await readPublication(fixture, leader), {
    version: 7,
    document: '{"version":7,"text":"first"}',
  });
});

test('any replica accepts a publication, and every replica reads it back', async t => {
  const fixture = await startCluster();
  const follower = requireFollower(fixture);
  await publishVersion(fixture, follower, 2);
  for (const node of fixture.cluster.nodes()) {
    t.is((await readPublication(fixture, node))?.version, 2);
  }
});

test('a replica that is partitioned from the majority refuses reads', async t => {
  const fixture = await startCluster();
  await publishVersion(fixture, requireLeader(fixture), 2);
  const cutOff = requireLeader(fixture);
  fixture.cluster.cutFromReplicas(getReplicaId(cutOff));
  await fixture.timers.advance(2_000);
  await publishVersion(fixture, requireLeader(fixture), 5);
  t.is(await readPublication(fixture, cutOff), undefined);
});

test('a dispatcher receives the publication in force', async t => {
  const fixture = await startCluster();
  const client = fixture.cluster.connect('d1');
  await fixture.timers.advance(500);
  await publishVersion(fixture, requireLeader(fixture), 4);
  await fixture.timers.advance(100);
  t.is(client.publication.current().version, 4);
});

test('a publication survives the restart of all replicas', async t => {
  const fixture = await startCluster();
  await publishVersion(fixture, requireLeader(fixture), 4);
  for (const host of ['c1', 'c2', 'c3']) await fixture.cluster.crash(host);
  for (const host of ['c1', 'c2', 'c3']) await fixture.cluster.start(host);
  await fixture.timers.advance(1_500);
  t.is((await readPublication(fixture, requireLeader(fixture)))?.version, 4);
});
