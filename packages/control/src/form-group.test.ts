import { MemberRole } from '@cranberryturn/replicated-log';
import test from 'ava';

import { AdministrationMethod } from './administration-calls.js';
import {
  type Bed,
  hostOf,
  leaderOf,
  settleWithin,
  startCluster,
} from './fakes/test-bed.js';

function startGroup(size = 3): Promise<Bed> {
  return startCluster({ size, minimumVoters: 3 });
}

function listVoters(bed: Bed): readonly string[] {
  return leaderOf(bed)
    .log.status()
    .members.filter(member => member.role === MemberRole.Voter)
    .map(member => member.replicaId.replace(/-.*/, '-blank'))
    .sort();
}

async function publish(bed: Bed, version: number): Promise<void> {
  const publication = { version, document: '{}' };
  await settleWithin(
    bed.timers,
    leaderOf(bed).administer({
      method: AdministrationMethod.Publish,
      publication,
    }),
  );
}

test('a new host becomes a voter without a person', async t => {
  const bed = await startGroup();
  await bed.cluster.startBlank('c4');
  await bed.timers.advance(3_000);
  t.deepEqual(listVoters(bed), ['c1', 'c2', 'c3', 'c4-blank']);
});

test('a host that lost its disk takes the place of its earlier replica', async t => {
  const bed = await startGroup();
  await publish(bed, 3);
  const lost = hostOf(leaderOf(bed));
  await bed.cluster.crash(lost);
  bed.cluster.wipe(lost);
  await bed.timers.advance(1_500);
  await bed.cluster.startBlank(lost);
  await bed.timers.advance(4_000);
  t.is(listVoters(bed).length, 3);
  t.true(listVoters(bed).includes(`${lost}-blank`));
  t.false(listVoters(bed).includes(lost));
  const node = bed.cluster.findNode(lost);
  t.is(node?.state.publication.version, 3);
});

test('a second host may be lost soon after a replaced one has caught up', async t => {
  const bed = await startGroup();
  const [first, second] = ['c1', 'c2'];
  await bed.cluster.crash(String(first));
  await bed.timers.advance(500);
  await bed.cluster.startBlank('c4');
  await bed.timers.advance(4_000);
  await publish(bed, 8);
  await bed.cluster.crash(String(second));
  await bed.timers.advance(2_500);
  await publish(bed, 9);
  t.is(leaderOf(bed).state.publication.version, 9);
});

test('the group does not shrink below its minimum, whoever is silent', async t => {
  const bed = await startGroup();
  const follower = bed.cluster.nodes().find(node => node !== leaderOf(bed));
  await bed.cluster.crash(follower === undefined ? '' : hostOf(follower));
  await bed.timers.advance(10_000);
  t.deepEqual(listVoters(bed), ['c1', 'c2', 'c3']);
});

test('a voter that was removed while it was silent is a voter again when it is back', async t => {
  const bed = await startGroup(4);
  const follower = bed.cluster.nodes().find(node => node !== leaderOf(bed));
  const host = follower === undefined ? '' : hostOf(follower);
  await bed.cluster.crash(host);
  await bed.timers.advance(5_000);
  t.is(listVoters(bed).length, 3);
  await bed.cluster.start(host);
  await bed.timers.advance(6_000);
  t.deepEqual(listVoters(bed), ['c1', 'c2', 'c3', 'c4']);
});
