import { MemberRole } from '@cranberryturn/replicated-log';
import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import {
  type ClusterFixture,
  seed,
  settleWithin,
} from './fakes/cluster-fixture.js';
import { createControlCluster } from './fakes/control-cluster.js';

const hostsWithDisk = ['c1', 'c2', 'c3'];
const hostsWithoutDisk = ['c4', 'c5', 'c6'];
const hosts = [...hostsWithDisk, ...hostsWithoutDisk];
/** Several times what an operator waits for the first acknowledgement. */
const foundingMilliseconds = 12_000;

function createFixture(): ClusterFixture {
  const timers = createManualTimerService();
  const cluster = createControlCluster({
    timers,
    seed,
    size: 3,
    minimumVoters: 3,
  });
  return { timers, cluster };
}

function start(
  { cluster }: ClusterFixture,
  seeds: readonly string[],
  started: readonly string[] = hosts,
): void {
  for (const host of started)
    void cluster.startFirst(host, seeds, hostsWithDisk.includes(host));
}

/** Publishes at any running host until it is acknowledged; returns whether it was. */
async function publish(
  { timers, cluster }: ClusterFixture,
  version: number,
): Promise<boolean> {
  const publication = { version, document: '{}' };
  const end = timers.now() + foundingMilliseconds;
  while (timers.now() < end) {
    const node = cluster.leader();
    const reply =
      node === undefined
        ? undefined
        : await settleWithin(
            timers,
            node.administer({
              method: AdministrationMethod.Publish,
              publication,
            }),
          );
    if (reply?.kind === AdministrationReplyKind.Done) return true;
    await timers.advance(100);
  }
  return false;
}

function listVoters({ cluster }: ClusterFixture): readonly string[] {
  const members = cluster.leader()?.log.status().members ?? [];
  return members
    .filter(({ role }) => role === MemberRole.Voter)
    .map(({ replicaId }) => replicaId.replace(/-.*/, ''))
    .sort();
}

/** Guards against a first start in which the log is never founded because seeds have no disk. */
for (const seeds of [
  ['c1', 'c4', 'c5'],
  ['c4', 'c5', 'c6'],
  ['c1', 'c2', 'c4'],
  ['c4', 'c5'],
  ['c4'],
  ['c1'],
  ['c1', 'c2', 'c3'],
]) {
  test(`the hosts with a disk found the log, whoever the seeds are (${seeds.join(', ')})`, async t => {
    const fixture = createFixture();
    start(fixture, seeds);
    t.true(await publish(fixture, 1));
    t.deepEqual(listVoters(fixture), hostsWithDisk);
  });
}

/** Guards against a founder that never comes up and keeps the others from serving. */
for (const missing of ['c2', 'c4']) {
  test(`a host that never starts does not keep the others from founding the log (${missing})`, async t => {
    const fixture = createFixture();
    const started = hosts.filter(host => host !== missing);
    start(fixture, ['c1', 'c2', 'c4'], started);
    t.true(await publish(fixture, 1));
  });
}

/** Guards against a configuration that is lost with the one disk on which it was acknowledged. */
test('nothing is acknowledged on a single disk while the loss of one is to be tolerated', async t => {
  const fixture = createFixture();
  start(fixture, ['c1'], ['c1', ...hostsWithoutDisk]);
  t.false(await publish(fixture, 1));
  start(fixture, ['c1'], ['c2']);
  t.true(await publish(fixture, 1));
  t.deepEqual(listVoters(fixture), ['c1', 'c2']);
});

/** Guards against the loss of a configuration with the first host that is lost after its acknowledgement. */
for (const seeds of [['c1'], ['c1', 'c4', 'c5']]) {
  test(`the first configuration outlasts the loss of the seed right after its acknowledgement (${seeds.join(', ')})`, async t => {
    const fixture = createFixture();
    start(fixture, seeds);
    t.true(await publish(fixture, 1));
    await fixture.cluster.crash('c1');
    fixture.cluster.wipe('c1');
    await fixture.timers.advance(foundingMilliseconds);
    t.is(fixture.cluster.leader()?.state.publication.version, 1);
    t.true(await publish(fixture, 2));
  });
}

/** Guards against a second group of the hosts that come after the log was founded. */
test('a host that starts late joins the group that was founded without it', async t => {
  const fixture = createFixture();
  const seeds = ['c2', 'c4', 'c5'];
  start(
    fixture,
    seeds,
    hosts.filter(host => host !== 'c2'),
  );
  t.true(await publish(fixture, 1));
  start(fixture, seeds, ['c2']);
  await fixture.timers.advance(8_000);
  t.deepEqual(listVoters(fixture), hostsWithDisk);
  t.is(fixture.cluster.findNode('c2')?.state.publication.version, 1);
});

/** Guards against a seed that answers a second time from an empty memory. */
test('a seed without a disk that is started again before the founding does not take part in it', async t => {
  const fixture = createFixture();
  const { cluster, timers } = fixture;
  const seeds = ['c1', 'c4', 'c5'];
  start(fixture, seeds, ['c4', 'c5', 'c6']);
  await timers.advance(500);
  for (const host of ['c4', 'c5']) {
    await cluster.crash(host);
    void cluster.startObserver(host, seeds);
  }
  start(fixture, seeds, hostsWithDisk);
  t.false(await publish(fixture, 1));
  const { founding } = cluster.findNode('c1')?.log.status() ?? {};
  t.like(founding, { step: 'awaits-seeds', seeds: 3, answering: 1 });
});
