import { MemberRole } from '@cranberryturn/replicated-log';
import test from 'ava';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import {
  type ClusterFixture,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';
import { countByDataCentre, tolerates } from './tolerated-losses.js';

const founders = 3;
const hostsPerDataCentre = 2;
const outageMilliseconds = 1_400;
const repairMilliseconds = 8_000;
const losses = { hosts: 2, dataCentres: 1 };
const minimumVoters = 2 * losses.hosts + 1;

const findDataCentre = (host: string): string =>
  `dc${String(Math.ceil(Number(host.slice(1)) / hostsPerDataCentre))}`;

/** A group of two hosts with a disk in each data centre, which join in any given order. */
interface Deployment {
  readonly fixture: ClusterFixture;
  readonly hosts: readonly string[];
}

async function startDeployment(dataCentres: number): Promise<Deployment> {
  const hosts = Array.from(
    { length: dataCentres * hostsPerDataCentre },
    (_, index) => `c${String(index + 1)}`,
  );
  const fixture = await startCluster({
    size: founders,
    minimumVoters,
    toleratedDataCentres: losses.dataCentres,
    findDataCentre,
  });
  for (const host of hosts.slice(founders))
    await fixture.cluster.startBlank(host);
  await fixture.timers.advance(repairMilliseconds);
  return { fixture, hosts };
}

/** Cuts the power of hosts; those named lose their disks too. */
async function cutPower(
  { fixture: { cluster } }: Deployment,
  hosts: readonly string[],
  wiped: readonly string[],
): Promise<void> {
  for (const host of hosts) await cluster.crash(host);
  for (const host of wiped) cluster.wipe(host);
}

async function restart(
  { fixture: { cluster } }: Deployment,
  hosts: readonly string[],
  wiped: readonly string[],
): Promise<void> {
  for (const host of hosts) {
    const isFounder = Number(host.slice(1)) <= founders;
    const keepsIdentity = isFounder && !wiped.includes(host);
    await (keepsIdentity ? cluster.start(host) : cluster.startBlank(host));
  }
}

async function administer(
  { fixture }: Deployment,
  call: Parameters<ReturnType<typeof requireLeader>['administer']>[0],
) {
  const [node] = fixture.cluster.nodes();
  if (node === undefined) throw new Error('No replica runs.');
  return await settleWithin(fixture.timers, node.administer(call));
}

async function publish(
  deployment: Deployment,
  version: number,
): Promise<AdministrationReplyKind> {
  const reply = await administer(deployment, {
    method: AdministrationMethod.Publish,
    publication: { version, document: '{}' },
  });
  return reply.kind;
}

async function readVersion(deployment: Deployment): Promise<number> {
  const reply = await administer(deployment, {
    method: AdministrationMethod.ReadPublication,
  });
  if (reply.kind !== AdministrationReplyKind.Done) return -1;
  return (reply.view as { readonly version: number }).version;
}

/** Whether the voters outlast the tolerated losses, and all hosts are members once. */
function isWhole({ fixture, hosts }: Deployment): boolean {
  const { members } = requireLeader(fixture).log.status();
  const voters = members
    .filter(({ role }) => role === MemberRole.Voter)
    .map(({ dataCentre = 'none' }) => dataCentre);
  return (
    members.length === hosts.length &&
    voters.length === Math.min(hosts.length, 7) &&
    tolerates(countByDataCentre(voters), losses)
  );
}

for (const dataCentres of [3, 4]) {
  const title = `each of ${String(dataCentres)} data centres`;

  test(`${title} can be lost one after another, and come back with blank disks`, async t => {
    const deployment = await startDeployment(dataCentres);
    const { fixture, hosts } = deployment;
    t.true(isWhole(deployment));
    for (let number = 1; number <= dataCentres; number += 1) {
      const name = `dc${String(number)}`;
      const lost = hosts.filter(host => findDataCentre(host) === name);
      t.is(await publish(deployment, 2 * number), AdministrationReplyKind.Done);
      await cutPower(deployment, lost, lost);
      await fixture.timers.advance(repairMilliseconds);
      t.is(await readVersion(deployment), 2 * number, name);
      const next = await publish(deployment, 2 * number + 1);
      t.is(next, AdministrationReplyKind.Done, name);
      await restart(deployment, lost, lost);
      await fixture.timers.advance(repairMilliseconds);
      t.true(isWhole(deployment), name);
      t.is(await readVersion(deployment), 2 * number + 1, name);
    }
  });

  test(`${title} can lose its disks in a power cut of all hosts right after an acknowledgement`, async t => {
    for (let number = 1; number <= dataCentres; number += 1) {
      const deployment = await startDeployment(dataCentres);
      const { fixture, hosts } = deployment;
      const name = `dc${String(number)}`;
      const wiped = hosts.filter(host => findDataCentre(host) === name);
      t.is(await publish(deployment, 38), AdministrationReplyKind.Done);
      await cutPower(deployment, hosts, wiped);
      await fixture.timers.advance(outageMilliseconds);
      await restart(deployment, hosts, wiped);
      await fixture.timers.advance(repairMilliseconds);
      t.is(await readVersion(deployment), 38, name);
      t.true(isWhole(deployment), name);
    }
  });

  test(`${title} can be cut off one after another, and come back`, async t => {
    const deployment = await startDeployment(dataCentres);
    const { fixture, hosts } = deployment;
    for (let number = 1; number <= dataCentres; number += 1) {
      const name = `dc${String(number)}`;
      const cut = hosts.filter(host => findDataCentre(host) === name);
      for (const host of cut) fixture.cluster.cutFromReplicas(host);
      await fixture.timers.advance(repairMilliseconds);
      const leader = requireLeader(fixture).log.status();
      const left = Math.max(minimumVoters, hosts.length - cut.length);
      t.is(leader.members.length, left, name);
      fixture.cluster.network.heal();
      await fixture.timers.advance(repairMilliseconds);
      t.true(isWhole(deployment), name);
    }
  });
}
