import type { Publication } from '@cranberryturn/types';
import test from 'ava';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import {
  type ClusterFixture,
  getReplicaId,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';

const founders = 3;
const dataCentres = ['east'];
const outageMilliseconds = 1_400;
const recoveryMilliseconds = 5_000;

/** Starts a group in which the hosts beyond the founders join, as on a deployment. */
async function startGroup(
  hosts: number,
  tolerated: number,
): Promise<ClusterFixture> {
  const fixture = await startCluster({
    size: founders,
    minimumVoters: 2 * tolerated + 1,
    dataCentres,
  });
  for (let number = founders + 1; number <= hosts; number += 1)
    await fixture.cluster.startBlank(`c${String(number)}`);
  await fixture.timers.advance(recoveryMilliseconds);
  return fixture;
}

function listHosts(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `c${String(index + 1)}`);
}

/** Cuts the power of all hosts right after an acknowledgement; some come back with empty disks. */
async function cutPower(
  { cluster, timers }: ClusterFixture,
  hosts: readonly string[],
  wiped: readonly string[],
): Promise<void> {
  for (const host of hosts) await cluster.crash(host);
  for (const host of wiped) cluster.wipe(host);
  await timers.advance(outageMilliseconds);
  for (const host of hosts) {
    const isFounderWithDisk =
      Number(host.slice(1)) <= founders && !wiped.includes(host);
    await (isFounderWithDisk ? cluster.start(host) : cluster.startBlank(host));
  }
  await timers.advance(recoveryMilliseconds);
}

async function readVersion({
  cluster,
  timers,
}: ClusterFixture): Promise<number | undefined> {
  const [node] = cluster.nodes();
  if (node === undefined) return undefined;
  const reply = await settleWithin(
    timers,
    node.administer({ method: AdministrationMethod.ReadPublication }),
  );
  if (reply.kind !== AdministrationReplyKind.Done) return undefined;
  return (reply.view as Publication).version;
}

/** All ways to choose `count` of the hosts. */
function chooseHosts(
  hosts: readonly string[],
  count: number,
): readonly (readonly string[])[] {
  if (count === 0) return [[]];
  return hosts.flatMap((host, index) =>
    chooseHosts(hosts.slice(index + 1), count - 1).map(rest => [host, ...rest]),
  );
}

for (const { hosts, tolerated, title } of [
  {
    hosts: 3,
    tolerated: 1,
    title:
      'three hosts of control serve an acknowledged publication after any disk was lost in a power cut',
  },
  {
    hosts: 4,
    tolerated: 1,
    title:
      'four hosts of control serve an acknowledged publication after any disk was lost in a power cut',
  },
  {
    hosts: 5,
    tolerated: 2,
    title:
      'five hosts of control serve an acknowledged publication after any two disks were lost in a power cut',
  },
  {
    hosts: 6,
    tolerated: 2,
    title:
      'six hosts of control serve an acknowledged publication after any two disks were lost in a power cut',
  },
]) {
  test(title, async t => {
    const names = listHosts(hosts);
    for (const wiped of chooseHosts(names, tolerated)) {
      const fixture = await startGroup(hosts, tolerated);
      const publication = { version: 38, document: '{}' };
      const acknowledged = await settleWithin(
        fixture.timers,
        requireLeader(fixture).administer({
          method: AdministrationMethod.Publish,
          publication,
        }),
      );
      t.is(acknowledged.kind, AdministrationReplyKind.Done);
      const leader = getReplicaId(requireLeader(fixture));
      await cutPower(fixture, names, wiped);
      t.is(
        await readVersion(fixture),
        38,
        `${leader} led, ${wiped.join(' and ')} lost their disks`,
      );
    }
  });
}

test('an acknowledged evacuation reaches a dispatcher that starts after a power cut in which the leader and another host lost their disks', async t => {
  const names = listHosts(6);
  const fixture = await startGroup(names.length, 2);
  const acknowledged = await settleWithin(
    fixture.timers,
    requireLeader(fixture).evacuations?.order({
      dataCentre: 'east',
      isEvacuated: true,
      callerLeft: new AbortController().signal,
    }) ?? Promise.reject(new Error('Evacuations are disabled.')),
  );
  t.is(acknowledged.kind, AdministrationReplyKind.Done);
  const leader = getReplicaId(requireLeader(fixture)).split('-')[0] ?? '';
  const wiped = [leader, ...names.filter(name => name !== leader)].slice(0, 2);
  await cutPower(fixture, names, wiped);
  const client = fixture.cluster.connect('d1');
  await fixture.timers.advance(recoveryMilliseconds);
  t.like(client.evacuations.current(), { version: 1 });
  t.is(client.evacuations.current().evacuations[0]?.dataCentre, 'east');
});
