import { createSilentLogger } from '@cranberryturn/logger';
import { MemberRole } from '@cranberryturn/replicated-log';
import test from 'ava';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { ControlNode } from './control-node.js';
import {
  type ClusterFixture,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';
import { listDurableHosts } from './list-durable-hosts.js';

const founders = 3;
const joinMilliseconds = 5_000;

/** Starts a group of hosts with a disk, of which those beyond the founders join in turn. */
async function startGroup(hosts: number): Promise<ClusterFixture> {
  const fixture = await startCluster({ size: founders, minimumVoters: 5 });
  for (let number = founders + 1; number <= hosts; number += 1) {
    await fixture.cluster.startBlank(`c${String(number)}`);
    await fixture.timers.advance(1_000);
  }
  await fixture.timers.advance(joinMilliseconds);
  return fixture;
}

function listHosts(
  fixture: ClusterFixture,
  role: MemberRole,
): readonly string[] {
  return requireLeader(fixture)
    .log.status()
    .members.filter(member => member.role === role)
    .map(({ replicaId }) => replicaId.replace(/-.*/, ''))
    .sort();
}

function findNode({ cluster }: ClusterFixture, host: string): ControlNode {
  const node = cluster.findNode(host);
  if (node === undefined) throw new Error(`${host} does not run.`);
  return node;
}

async function publishAt(
  fixture: ClusterFixture,
  host: string,
  version: number,
): Promise<AdministrationReplyKind> {
  const reply = await settleWithin(
    fixture.timers,
    findNode(fixture, host).administer({
      method: AdministrationMethod.Publish,
      publication: { version, document: '{}' },
    }),
  );
  return reply.kind;
}

test('the eighth host with a disk follows the log and serves operators without a vote', async t => {
  const fixture = await startGroup(8);
  t.is(await publishAt(fixture, 'c8', 4), AdministrationReplyKind.Done);
  await fixture.timers.advance(1_000);
  t.is(findNode(fixture, 'c8').state.publication.version, 4);
  t.is(listHosts(fixture, MemberRole.Voter).length, 7);
  t.deepEqual(listHosts(fixture, MemberRole.Observer), ['c8']);
  const { members } = requireLeader(fixture).log.status();
  t.is(listDurableHosts(members).length, 7, 'dispatchers dial voters only');
});

test('a standby takes the place of a lost voter, and the host that returns becomes the standby', async t => {
  for (const lost of ['c1', 'c2', 'c7']) {
    const fixture = await startGroup(8);
    const { cluster, timers } = fixture;
    await cluster.crash(lost);
    await timers.advance(joinMilliseconds);
    const voters = listHosts(fixture, MemberRole.Voter);
    t.is(voters.length, 7, lost);
    t.true(voters.includes('c8'));
    t.false(voters.includes(lost));
    await (Number(lost.slice(1)) <= founders
      ? cluster.start(lost)
      : cluster.startBlank(lost));
    await timers.advance(joinMilliseconds);
    t.deepEqual(listHosts(fixture, MemberRole.Voter), voters);
    t.deepEqual(listHosts(fixture, MemberRole.Observer), [lost]);
    t.is(await publishAt(fixture, lost, 5), AdministrationReplyKind.Done);
  }
});

test('a host of voters that returns with a blank disk leaves seven voters and a standby', async t => {
  const fixture = await startGroup(8);
  const { cluster, timers } = fixture;
  for (const pause of [200, 1_500, 3_000]) {
    await cluster.crash('c5');
    cluster.wipe('c5');
    await timers.advance(pause);
    await cluster.startBlank('c5');
    await timers.advance(2 * joinMilliseconds);
    t.is(listHosts(fixture, MemberRole.Voter).length, 7);
    t.is(listHosts(fixture, MemberRole.Observer).length, 1);
    t.is(requireLeader(fixture).log.status().members.length, 8);
  }
});

test('an observer without a disk does not take the place of a lost voter', async t => {
  const fixture = await startGroup(7);
  const { cluster, timers } = fixture;
  await cluster.startObserver('c9');
  await timers.advance(joinMilliseconds);
  await cluster.crash('c7');
  await timers.advance(2 * joinMilliseconds);
  t.is(listHosts(fixture, MemberRole.Voter).length, 6);
  t.deepEqual(listHosts(fixture, MemberRole.Observer), ['c9']);
});

/** Two hosts a data centre, in the order in which the hosts are numbered. */
const findDataCentre = (host: string): string =>
  `dc${String(Math.ceil(Number(host.slice(1)) / 2))}`;

test('members carry their data centre, founders too', async t => {
  const fixture = await startCluster({
    size: founders,
    minimumVoters: 5,
    findDataCentre,
  });
  await fixture.cluster.startBlank('c4');
  await fixture.timers.advance(joinMilliseconds);
  const dataCentres = requireLeader(fixture)
    .log.status()
    .members.map(({ dataCentre }) => dataCentre)
    .sort();
  t.deepEqual(dataCentres, ['dc1', 'dc1', 'dc2', 'dc2']);
});

test('a host in a further data centre takes the vote of a host in a crowded one', async t => {
  const fixture = await startCluster({
    size: founders,
    minimumVoters: 5,
    toleratedDataCentres: 1,
    findDataCentre: host =>
      Number(host.slice(1)) <= 6 ? findDataCentre(host) : 'dc1',
  });
  const { cluster, timers } = fixture;
  for (const host of ['c7', 'c8', 'c4', 'c5', 'c6']) {
    await cluster.startBlank(host);
    await timers.advance(joinMilliseconds);
  }
  const voters = requireLeader(fixture)
    .log.status()
    .members.filter(({ role }) => role === MemberRole.Voter)
    .map(({ dataCentre }) => dataCentre)
    .sort();
  t.deepEqual(voters, ['dc1', 'dc1', 'dc1', 'dc2', 'dc2', 'dc3', 'dc3']);
});

test('a leader warns once for each change when the loss of a data centre would stop the group', async t => {
  const logger = createSilentLogger();
  const warnings: unknown[] = [];
  logger.warn = (message, fields) => void warnings.push([message, fields]);
  const fixture = await startCluster({
    size: 4,
    minimumVoters: 3,
    toleratedDataCentres: 1,
    findDataCentre,
    logger,
  });
  await fixture.timers.advance(joinMilliseconds);
  t.deepEqual(warnings.slice(-1), [
    [
      'control has too many of its voters in one data centre for the tolerated losses; run it on hosts with a disk in more data centres',
      {
        voters: 4,
        needed: 3,
        votersByDataCentre: { dc1: 2, dc2: 2 },
        tolerated: { hosts: 1, dataCentres: 1 },
        lostAtWorst: 2,
        majority: 3,
        sufficientHostsWithDisk: { dc1: 2, dc2: 2, 'other data centre 1': 1 },
      },
    ],
  ]);
  const before = warnings.length;
  await fixture.timers.advance(joinMilliseconds);
  t.is(warnings.length, before);
  await fixture.cluster.startBlank('c5');
  await fixture.timers.advance(joinMilliseconds);
  t.is(warnings.length, before);
});
