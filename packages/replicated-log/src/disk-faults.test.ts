/** Faults of a disk that pass: the replica stops, and starts again from the disk. */
import test from 'ava';

import { hasFailedForGood, type LogStatus, ReplicaRole } from './log-types.js';
import {
  finish,
  followersOf,
  leaderOf,
  proposeMany,
  startCluster,
} from './model/cluster-steps.js';
import type { ModelHost } from './model/model-host.js';

const refusalMilliseconds = 3_000;

test('a failed sync stops the replica and is not retried', async t => {
  const cluster = await startCluster();
  const leader = leaderOf(cluster);
  leader.disk.failSyncs();
  const syncs = leader.disk.syncsOfAppends();
  if (leader.log) cluster.propose(leader.log);
  await cluster.timers.advance(2_000);
  t.is(leader.log?.status().role, ReplicaRole.Stopped);
  t.is(leader.log?.status().failure?.name, 'StorageError');
  t.is(leader.disk.syncsOfAppends(), syncs + 1);
  t.not(cluster.leader(), undefined);
  await finish(t, cluster);
});

// A replica that stopped for good after a fault of its disk left control without a majority after the second such fault.
test('replicas whose disks refuse writes one after another, for a while each, form a majority without the last one', async t => {
  const cluster = await startCluster();
  const [first, second, last] = cluster.hosts as [
    ModelHost,
    ModelHost,
    ModelHost,
  ];
  for (const host of [first, second]) {
    host.disk.refuseWrites(refusalMilliseconds);
    await proposeMany(cluster, 5);
    await cluster.timers.advance(refusalMilliseconds);
    await proposeMany(cluster, 5);
    await cluster.timers.advance(7_000);
  }
  const acknowledged = cluster.invariants.acknowledged().size;
  last.crash();
  await cluster.timers.advance(2_000);
  await proposeMany(cluster, 5);
  await cluster.timers.advance(1_000);
  t.true(cluster.invariants.acknowledged().size > acknowledged);
  await finish(t, cluster);
});

test('a replica pauses longer from one attempt to open its log to the next while the disk refuses', async t => {
  const cluster = await startCluster();
  const [host] = followersOf(cluster) as [ModelHost];
  host.disk.refuseWrites();
  await proposeMany(cluster, 1);
  const attempts: number[] = [];
  await cluster.timers.advance(500);
  for (let second = 0; second < 12; second += 1) {
    attempts.push(host.log?.status().recoveryAttempts ?? 0);
    await cluster.timers.advance(1_000);
  }
  t.deepEqual(attempts, [1, 3, 3, 4, 4, 4, 5, 5, 5, 5, 6, 6]);
  t.is(host.log?.status().role, ReplicaRole.Stopped);
  t.false(hasFailedForGood(host.log?.status() as LogStatus));
  host.disk.repair();
  await cluster.timers.advance(5_000);
  t.is(host.log?.status().role, ReplicaRole.Follower);
  await finish(t, cluster);
});
