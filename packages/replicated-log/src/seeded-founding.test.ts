import test from 'ava';

import { FoundingStep } from './log-types.js';
import { finish } from './model/cluster-steps.js';
import type { ModelHost } from './model/model-host.js';
import { SeededCluster } from './model/seeded-cluster.js';
import {
  PeerMessageKind,
  PeerReplyKind,
  type AcceptFoundingMessage,
  type Ballot,
  type PeerReply,
  type PrepareFoundingMessage,
} from './ports/peer-link.js';

const foundingMilliseconds = 1_500;

/** Three hosts with a disk and two without; nothing is lost or delayed. */
function createCluster(seeds: readonly string[], late?: string): SeededCluster {
  return new SeededCluster(3, 1, { seeds, late });
}

function findHost(cluster: SeededCluster, name: string): ModelHost {
  const hosts = [...cluster.hosts, ...cluster.witnesses];
  const found = hosts.find(host => host.name === name);
  if (found === undefined) throw new Error(`There is no host ${name}.`);
  return found;
}

interface SeedCall {
  readonly cluster: SeededCluster;
  readonly seed: string;
  readonly seeds: readonly string[];
}

async function send(
  { cluster, seed, seeds }: SeedCall,
  message:
    | Pick<PrepareFoundingMessage, 'kind' | 'ballot'>
    | Pick<AcceptFoundingMessage, 'kind' | 'ballot' | 'members'>,
): Promise<PeerReply | undefined> {
  const { log } = findHost(cluster, seed);
  const whole = { ...message, to: seed, term: 0, seeds };
  const reply = log?.handlePeerMessage('proposer', whole);
  await cluster.timers.advance(50);
  return await reply;
}

function prepare(call: SeedCall, ballot: Ballot) {
  return send(call, { kind: PeerMessageKind.PrepareFounding, ballot });
}

function accept(call: SeedCall, ballot: Ballot) {
  const kind = PeerMessageKind.AcceptFounding;
  return send(call, { kind, ballot, members: [] });
}

/** Opens one seed only, so that nobody proposes but the test. */
async function openSeed(seed: string, seeds: readonly string[]) {
  const cluster = createCluster(seeds);
  findHost(cluster, seed).open();
  await cluster.timers.advance(100);
  return { cluster, seed, seeds };
}

const seeds = ['replica-0', 'witness-0', 'witness-1'];
const first = { round: 1, proposer: 'a' };
const second = { round: 1, proposer: 'b' };

/** Guards against two groups, one on each side of a partition. */
test('a minority of the seeds decides nothing, and its hosts join the group of the others', async t => {
  const cluster = createCluster(['replica-0', 'replica-1', 'replica-2']);
  const separate = cluster.hosts.find(({ name }) => name === 'replica-0');
  if (separate === undefined) throw new Error('There is no first host.');
  cluster.isolate(separate);
  cluster.open();
  await cluster.timers.advance(3_000 + foundingMilliseconds);
  t.not(separate.log?.status().founding?.step, FoundingStep.Decided);
  t.is(cluster.invariants.founders?.length, 2);
  await finish(t, cluster);
});

/** Guards against two decisions of the seeds: the first proposer may have gone on meanwhile. */
test('a seed accepts nothing in a ballot before the one that it has promised', async t => {
  const call = await openSeed('witness-0', seeds);
  t.like(await prepare(call, second), { promised: second });
  t.like(await accept(call, first), {
    kind: PeerReplyKind.SeedAnswer,
    promised: second,
    accepted: undefined,
  });
  t.like(await accept(call, second), { accepted: { ballot: second } });
});

/** Guards against a second decision after a seed with a disk was started again. */
test('a seed with a disk keeps what it has promised and accepted', async t => {
  const call = await openSeed('replica-0', seeds);
  await accept(call, second);
  const host = findHost(call.cluster, call.seed);
  host.crash();
  host.open();
  await call.cluster.timers.advance(100);
  t.like(await prepare(call, first), {
    promised: second,
    accepted: { ballot: second },
  });
});

/** Guards against a second decision after a seed without a disk was started again. */
test('a seed without a disk does not answer again from an empty memory', async t => {
  const call = await openSeed('witness-0', seeds);
  await accept(call, second);
  call.cluster.crashWitness(0);
  await call.cluster.timers.advance(100);
  t.like(await prepare(call, first), {
    kind: PeerReplyKind.Refused,
    wrongIdentity: false,
  });
});

/** Guards against two groups of hosts that were started with different seeds. */
test('a seed that was started with other seeds takes no part', async t => {
  const call = await openSeed('witness-0', seeds);
  const others = ['replica-1', 'witness-0', 'witness-1'];
  const reply = await prepare({ ...call, seeds: others }, first);
  t.is(reply?.kind, PeerReplyKind.Refused);
});

/** Guards against a second group that a seed helps to found because it had no part in the first decision. */
test('a seed that belongs to a group without having accepted it takes no part any more', async t => {
  const cluster = createCluster(seeds);
  const [separate] = cluster.hosts;
  if (separate === undefined) throw new Error('There is no first host.');
  cluster.isolate(separate);
  cluster.open();
  await cluster.timers.advance(3_000 + foundingMilliseconds);
  cluster.network.heal();
  await cluster.timers.advance(foundingMilliseconds);
  t.is(separate.log?.status().members.length, 3);
  const reply = await prepare({ cluster, seed: separate.name, seeds }, second);
  t.is(reply?.kind, PeerReplyKind.Refused);
});

/** Guards against a group that cannot elect a leader, because the seeds are gone before all of its members know it. */
test('founding members that the seeds can no longer tell learn of the decision from each other', async t => {
  const cluster = createCluster(['witness-0', 'witness-1']);
  cluster.network.setFaults({
    dropShare: 0,
    duplicateShare: 0,
    maximumDelay: 40,
  });
  cluster.open();
  while (cluster.invariants.founders === undefined)
    await cluster.timers.advance(1);
  for (const number of [0, 1]) cluster.crashWitness(number);
  await finish(t, cluster);
});
