import { createSilentLogger } from '@cranberryturn/logger';
import { MemberRole } from '@cranberryturn/replicated-log';
import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { AdministrationMethod } from './administration-calls.js';
import {
  type ClusterFixture,
  getReplicaId,
  requireLeader,
  seed,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';
import { createControlCluster } from './fakes/control-cluster.js';

function startGroup(size = 3): Promise<ClusterFixture> {
  return startCluster({ size, minimumVoters: 3 });
}

function listVoters(fixture: ClusterFixture): readonly string[] {
  return requireLeader(fixture)
    .log.status()
    .members.filter(member => member.role === MemberRole.Voter)
    .map(member => member.replicaId.replace(/-.*/, '-blank'))
    .sort();
}

async function publish(
  fixture: ClusterFixture,
  version: number,
): Promise<void> {
  const publication = { version, document: '{}' };
  await settleWithin(
    fixture.timers,
    requireLeader(fixture).administer({
      method: AdministrationMethod.Publish,
      publication,
    }),
  );
}

test('a new host becomes a voter without an operator', async t => {
  const fixture = await startGroup();
  await fixture.cluster.startBlank('c4');
  await fixture.timers.advance(3_000);
  t.deepEqual(listVoters(fixture), ['c1', 'c2', 'c3', 'c4-blank']);
});

test('a host that lost its disk replaces its earlier replica', async t => {
  const fixture = await startGroup();
  await publish(fixture, 3);
  const lost = getReplicaId(requireLeader(fixture));
  await fixture.cluster.crash(lost);
  fixture.cluster.wipe(lost);
  await fixture.timers.advance(1_500);
  await fixture.cluster.startBlank(lost);
  await fixture.timers.advance(4_000);
  t.is(listVoters(fixture).length, 3);
  t.true(listVoters(fixture).includes(`${lost}-blank`));
  t.false(listVoters(fixture).includes(lost));
  const node = fixture.cluster.findNode(lost);
  t.is(node?.state.publication.version, 3);
});

test('the loss of a second host is tolerated once the replacement of the first has caught up', async t => {
  const fixture = await startGroup();
  const [first, second] = ['c1', 'c2'];
  await fixture.cluster.crash(String(first));
  await fixture.timers.advance(500);
  await fixture.cluster.startBlank('c4');
  await fixture.timers.advance(4_000);
  await publish(fixture, 8);
  await fixture.cluster.crash(String(second));
  await fixture.timers.advance(2_500);
  await publish(fixture, 9);
  t.is(requireLeader(fixture).state.publication.version, 9);
});

test('a silent voter is not removed from a group of minimum size', async t => {
  const fixture = await startGroup();
  const follower = fixture.cluster
    .nodes()
    .find(node => node !== requireLeader(fixture));
  await fixture.cluster.crash(
    follower === undefined ? '' : getReplicaId(follower),
  );
  await fixture.timers.advance(10_000);
  t.deepEqual(listVoters(fixture), ['c1', 'c2', 'c3']);
});

test('a voter that was removed while silent becomes a voter again after its restart', async t => {
  const fixture = await startGroup(4);
  const follower = fixture.cluster
    .nodes()
    .find(node => node !== requireLeader(fixture));
  const host = follower === undefined ? '' : getReplicaId(follower);
  await fixture.cluster.crash(host);
  await fixture.timers.advance(5_000);
  t.is(listVoters(fixture).length, 3);
  await fixture.cluster.start(host);
  await fixture.timers.advance(6_000);
  t.deepEqual(listVoters(fixture), ['c1', 'c2', 'c3', 'c4']);
});

test('a leader warns when its voters are too few for the tolerated losses', async t => {
  const logger = createSilentLogger();
  const warnings: unknown[] = [];
  logger.warn = (_message, fields) => void warnings.push(fields);
  const fixture = await startCluster({ size: 3, minimumVoters: 5, logger });
  t.deepEqual(warnings, [{ voters: 3, needed: 5 }]);
  await fixture.cluster.startBlank('c4');
  await fixture.cluster.startBlank('c5');
  await fixture.timers.advance(3_000);
  t.is(listVoters(fixture).length, 5);
  t.deepEqual(warnings.slice(1), [{ voters: 4, needed: 5 }]);
});

test('a voter that was removed while it was cut off becomes a voter again without a restart', async t => {
  const fixture = await startGroup(4);
  const follower = fixture.cluster
    .nodes()
    .find(node => node !== requireLeader(fixture));
  const host = follower === undefined ? '' : getReplicaId(follower);
  fixture.cluster.cutFromReplicas(host);
  await fixture.timers.advance(8_000);
  t.is(listVoters(fixture).length, 3);
  fixture.cluster.network.heal();
  await fixture.timers.advance(6_000);
  t.deepEqual(listVoters(fixture), ['c1', 'c2', 'c3', 'c4']);
});

test('the group outlasts the loss of a replacement, whenever after its start that is', async t => {
  for (let pause = 400; pause <= 1_200; pause += 50) {
    const fixture = await startGroup();
    const { cluster, timers } = fixture;
    const lost = getReplicaId(requireLeader(fixture));
    await cluster.crash(lost);
    cluster.wipe(lost);
    await cluster.startBlank(lost);
    await timers.advance(pause);
    await cluster.crash(lost);
    await timers.advance(4_000);
    await publish(fixture, 5);
    t.is(requireLeader(fixture).state.publication.version, 5, String(pause));
  }
});

test('founders that are killed before they have an identity and join after their restart do not stop the group', async t => {
  for (const killed of ['c1', 'c2', 'c3']) {
    const timers = createManualTimerService();
    const cluster = createControlCluster({
      timers,
      seed,
      size: 3,
      minimumVoters: 3,
    });
    const starts = ['c1', 'c2', 'c3'].map(host =>
      host === killed ? cluster.startBlank(host) : cluster.start(host),
    );
    await timers.advance(2_000);
    await Promise.all(starts);
    await timers.advance(4_000);
    const fixture = { timers, cluster };
    await publish(fixture, 2);
    t.is(listVoters(fixture).length, 3);
    t.true(listVoters(fixture).includes(`${killed}-blank`));
  }
});

test('a host that loses its disk twice in a row becomes a voter', async t => {
  const fixture = await startGroup();
  const { cluster, timers } = fixture;
  const lost = getReplicaId(requireLeader(fixture));
  for (let loss = 1; loss <= 2; loss += 1) {
    await cluster.crash(lost);
    cluster.wipe(lost);
    await cluster.startBlank(lost);
    await timers.advance(1_100);
  }
  await timers.advance(4_000);
  const members = requireLeader(fixture).log.status().members;
  t.deepEqual(listVoters(fixture).length, 3);
  t.is(members.length, 3);
});
