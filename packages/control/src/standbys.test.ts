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
