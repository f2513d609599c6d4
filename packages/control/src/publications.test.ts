import type { Publication } from '@cranberryturn/types';
import test from 'ava';

import {
  AdministrationMethod,
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { ControlNode } from './control-node.js';
import {
  type Bed,
  hostOf,
  leaderOf,
  settleWithin,
  startCluster,
} from './fakes/test-bed.js';

function publish(
  { timers }: Bed,
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

async function read(
  { timers }: Bed,
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

function followerOf({ cluster }: Bed): ControlNode {
  const leader = leaderOf({ cluster } as Bed);
  const follower = cluster.nodes().find(node => node !== leader);
  if (follower === undefined) throw new Error('there is no follower');
  return follower;
}

test('the highest version is in force, and an older or equal one changes nothing', async t => {
  const bed = await startCluster();
  const leader = leaderOf(bed);
  await publish(bed, leader, 7);
  const older = await publish(bed, leader, 3);
  const equal = await publish(bed, leader, 7, 'other');
  t.is(older.kind, AdministrationReplyKind.Done);
  t.is(equal.kind, AdministrationReplyKind.Done);
  t.deepEqual(await read(bed, leader), {
    version: 7,
    document: '{"version":7,"text":"first"}',
  });
});

test('any replica takes a publication, and reads back what was acknowledged', async t => {
  const bed = await startCluster();
  const follower = followerOf(bed);
  await publish(bed, follower, 2);
  for (const node of bed.cluster.nodes()) {
    t.is((await read(bed, node))?.version, 2);
  }
});

test('a replica that is cut off from the majority reads nothing back', async t => {
  const bed = await startCluster();
  await publish(bed, leaderOf(bed), 2);
  const cutOff = leaderOf(bed);
  bed.cluster.cutFromReplicas(hostOf(cutOff));
  await bed.timers.advance(2_000);
  await publish(bed, leaderOf(bed), 5);
  t.is(await read(bed, cutOff), undefined);
});

test('a dispatcher follows the publication in force', async t => {
  const bed = await startCluster();
  const client = bed.cluster.connect('d1');
  await bed.timers.advance(500);
  await publish(bed, leaderOf(bed), 4);
  await bed.timers.advance(100);
  t.is(client.publication.current().version, 4);
});

test('a publication outlives the restart of all replicas', async t => {
  const bed = await startCluster();
  await publish(bed, leaderOf(bed), 4);
  for (const host of ['c1', 'c2', 'c3']) await bed.cluster.crash(host);
  for (const host of ['c1', 'c2', 'c3']) await bed.cluster.start(host);
  await bed.timers.advance(1_500);
  t.is((await read(bed, leaderOf(bed)))?.version, 4);
});
