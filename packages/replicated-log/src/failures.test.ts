import { ConflictError } from '@cranberryturn/errors';
import test, { type ExecutionContext } from 'ava';

import { ReplicaRole } from './log-types.js';
import {
  finish,
  followersOf,
  leaderOf,
  proposeMany,
  startCluster,
} from './model/cluster-steps.js';
import type { ModelCluster } from './model/model-cluster.js';
import type { ModelHost } from './model/model-host.js';
import { defaultLogTuning } from './tuning.js';
import { PeerMessageKind, PeerReplyKind } from './ports/peer-link.js';

const electionTimeoutMilliseconds = 400;
const checkIntervalMilliseconds = 50;
const electionLimitMilliseconds = 5_000;
/** With other seeds the first entry of the second leader may reach the remaining follower before the partition. */
const seedWithCutBeforeReplication = 2;

/** Advances time in steps of 1 ms, so that the test can intervene as soon as `condition` holds. */
async function advanceUntil(
  t: ExecutionContext,
  cluster: ModelCluster,
  condition: () => boolean,
): Promise<void> {
  const end = cluster.timers.now() + electionLimitMilliseconds;
  while (!condition() && cluster.timers.now() < end) {
    await cluster.timers.advance(1);
  }
  t.true(condition());
}

test('hosts that are lost one after another, each after a repair, lose no acknowledged command', async t => {
  const cluster = await startCluster();
  await proposeMany(cluster, 12);
  const [first, second] = followersOf(cluster);
  cluster.replaceHost(first as ModelHost);
  t.true(await cluster.tickUntil(() => cluster.replacing.size === 0, 5_000));
  cluster.replaceHost(second as ModelHost);
  t.true(await cluster.tickUntil(() => cluster.replacing.size === 0, 5_000));
  cluster.replaceHost(leaderOf(cluster));
  t.true(await cluster.tickUntil(() => cluster.replacing.size === 0, 5_000));
  t.is(cluster.invariants.acknowledged().size, 12);
  await finish(t, cluster);
});

test('a replica with an empty disk does not vote under the old identity', async t => {
  const cluster = await startCluster();
  const [follower, other] = followersOf(cluster);
  follower?.wipe();
  follower?.open();
  await cluster.timers.advance(1_000);
  const failure = follower?.log?.status().failure;
  t.true(failure instanceof ConflictError);
  t.snapshot(failure?.message);
  const reply = await follower?.log?.handlePeerMessage(String(other?.name), {
    kind: PeerMessageKind.Vote,
    to: String(follower.name),
    term: 99,
    last: { index: 99, term: 98 },
  });
  t.is(reply?.kind, PeerReplyKind.Refused);
});

test('a leader without a majority steps down', async t => {
  const cluster = await startCluster();
  const leader = leaderOf(cluster);
  await proposeMany(cluster, 1);
  cluster.network.isolate(String(leader.replicaId));
  const proof = leader.log?.confirmLeadership();
  await cluster.timers.advance(
    electionTimeoutMilliseconds + 2 * checkIntervalMilliseconds + 1,
  );
  t.is(leader.log?.status().role, ReplicaRole.Follower);
  t.true((await proof)?.isErr());
  const refused = await leader.log?.propose(Buffer.from('late'));
  t.like(refused?._unsafeUnwrapErr(), { mayHaveHappened: false });
  await finish(t, cluster);
});

test('a leader that returns after a long partition discards entries that only it held', async t => {
  const cluster = await startCluster();
  const leader = leaderOf(cluster);
  cluster.network.isolate(String(leader.replicaId));
  for (let number = 0; number < 5; number += 1) {
    if (leader.log) cluster.propose(leader.log);
  }
  await cluster.timers.advance(2_000);
  const term = cluster.leader()?.status().term;
  await proposeMany(cluster, 20);
  await cluster.timers.advance(3_600_000 / 60);
  cluster.network.heal();
  await cluster.timers.advance(1_000);
  t.is(cluster.leader()?.status().term, term);
  t.is(cluster.invariants.acknowledged().size, 20);
  await finish(t, cluster);
});

test('a one-way partition does not increase terms', async t => {
  const cluster = await startCluster();
  const [follower] = followersOf(cluster);
  const { term } = leaderOf(cluster).log?.status() ?? {};
  cluster.network.cutOneWay(
    String(leaderOf(cluster).replicaId),
    String(follower?.replicaId),
  );
  await cluster.timers.advance(20_000);
  t.is(cluster.leader()?.status().term, term);
  t.is(follower?.log?.status().term, term);
  await finish(t, cluster);
});

test('a granted vote survives a restart', async t => {
  const cluster = await startCluster();
  const host = cluster.hosts[0] as ModelHost;
  const ask = async (candidate: string) => {
    const message = {
      kind: PeerMessageKind.Vote,
      to: host.name,
      term: 50,
      last: { index: 99, term: 49 },
    } as const;
    return await host.log?.handlePeerMessage(candidate, message);
  };
  t.like(await ask('replica-1'), { granted: true, term: 50 });
  for (const other of cluster.hosts) other.crash();
  host.open();
  await cluster.timers.settle();
  t.like(await ask('replica-2'), { granted: false, term: 50 });
  t.like(await ask('replica-1'), { granted: true, term: 50 });
  await finish(t, cluster);
});

test('a leader whose disk hangs transfers leadership', async t => {
  const cluster = await startCluster();
  const leader = leaderOf(cluster);
  const { term } = leader.log?.status() ?? {};
  leader.disk.hang();
  await proposeMany(cluster, 1);
  await cluster.timers.advance(1_500);
  t.not(leaderOf(cluster), leader);
  t.is(cluster.leader()?.status().term, Number(term) + 1);
  await finish(t, cluster);
});

test('a replica whose disk hangs stops within its timeout and loses no acknowledged command', async t => {
  const cluster = await startCluster();
  await proposeMany(cluster, 3);
  const leader = leaderOf(cluster);
  const { log, disk } = leader;
  disk.hang();
  await proposeMany(cluster, 1);
  let isStopped = false;
  void log?.stop().then(() => {
    isStopped = true;
  });
  await cluster.timers.advance(defaultLogTuning.stopTimeout - 1);
  t.false(isStopped);
  await cluster.timers.advance(1);
  t.true(isStopped);
  t.is(log?.status().failure?.name, 'StorageError');
  t.not(leaderOf(cluster), leader);
  leader.crash();
  await finish(t, cluster);
});

test('a replica whose disk responds stops without waiting for the timeout', async t => {
  const cluster = await startCluster();
  const { log } = leaderOf(cluster);
  let isStopped = false;
  void log?.stop().then(() => {
    isStopped = true;
  });
  await cluster.timers.advance(1_000);
  t.true(isStopped);
  t.is(log?.status().failure, undefined);
  leaderOf(cluster);
});

test('a leadership transfer completes within one heartbeat interval', async t => {
  const cluster = await startCluster();
  await proposeMany(cluster, 3);
  const leader = leaderOf(cluster);
  const handedOver = leader.log?.transferLeadership();
  await cluster.timers.advance(100);
  t.is((await handedOver)?._unsafeUnwrap(), leaderOf(cluster).replicaId);
  t.not(leaderOf(cluster), leader);
  await finish(t, cluster);
});

test('a new leader is elected within two seconds of a crash', async t => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const cluster = await startCluster(5, seed);
    const leader = leaderOf(cluster);
    leader.crash();
    await cluster.timers.advance(2_000);
    t.not(cluster.leader(), undefined, `seed ${String(seed)}`);
    cluster.stop();
  }
});

test('proposals made during one sync share the next sync', async t => {
  const cluster = await startCluster();
  const leader = leaderOf(cluster);
  leader.disk.setSyncDelay(5);
  const syncs = leader.disk.syncs();
  for (let number = 0; number < 100; number += 1) {
    if (leader.log) cluster.propose(leader.log);
  }
  await cluster.timers.advance(40);
  t.is(cluster.invariants.acknowledged().size, 100);
  // One batch, and the snapshots that the small tuning causes.
  t.true(leader.disk.syncs() - syncs <= 5);
  cluster.stop();
});

test('an entry of an earlier term is not committed by counting replicas', async t => {
  const cluster = await startCluster(3, seedWithCutBeforeReplication);
  const first = leaderOf(cluster);
  const [second, third] = followersOf(cluster) as [ModelHost, ModelHost];
  // Only the first leader holds several entries of its term.
  cluster.network.isolate(String(first.replicaId));
  const lastIndexBefore = first.log?.status().lastIndex ?? 0;
  for (let number = 0; number < 6; number += 1) {
    if (first.log) cluster.propose(first.log);
  }
  await cluster.timers.settle();
  first.crash();
  // A second leader, of a later term, is partitioned before it replicates its first entry.
  cluster.network.heal();
  cluster.network.setFaults({
    dropShare: 0,
    duplicateShare: 0,
    maximumDelay: 4,
  });
  const successor = (): ModelHost | undefined =>
    [second, third].find(host => host.leadingLog() !== undefined);
  await advanceUntil(t, cluster, () => successor() !== undefined);
  const laterLeader = successor() as ModelHost;
  const remaining = laterLeader === second ? third : second;
  cluster.network.isolate(String(laterLeader.replicaId));
  // The first leader is elected again and replicates all but its newest entries.
  first.open();
  const lastIndex = (): number => remaining.log?.status().lastIndex ?? 0;
  await advanceUntil(t, cluster, () => lastIndex() >= lastIndexBefore + 4);
  t.is(first.log?.status().role, ReplicaRole.Leader);
  t.true(lastIndex() < (first.log?.status().lastIndex ?? 0));
  t.true((first.log?.status().commitIndex ?? 0) <= lastIndexBefore);
  // The leader of the later term wins with the remaining vote and overwrites the old entries.
  first.crash();
  cluster.network.heal();
  await cluster.tickUntil(() => laterLeader.leadingLog() !== undefined, 5_000);
  await finish(t, cluster);
});
