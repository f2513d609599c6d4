/** Steps of the tests that run a cluster of model hosts. */
import type { ExecutionContext } from 'ava';

import { ModelCluster } from './model-cluster.js';
import type { ModelHost } from './model-host.js';

export async function startCluster(size = 3, seed = 1): Promise<ModelCluster> {
  const cluster = new ModelCluster(size, seed);
  await cluster.start();
  await cluster.timers.advance(1_000);
  return cluster;
}

export async function proposeMany(
  cluster: ModelCluster,
  count: number,
): Promise<void> {
  for (let number = 0; number < count; number += 1) {
    const leader = cluster.leader();
    if (leader !== undefined) cluster.propose(leader);
    await cluster.timers.advance(5);
  }
}

export function leaderOf(cluster: ModelCluster): ModelHost {
  const host = cluster.findLeadingHost();
  if (host?.replicaId === undefined)
    throw new Error('The cluster has no leader.');
  return host;
}

export function followersOf(cluster: ModelCluster): ModelHost[] {
  const leader = leaderOf(cluster);
  return cluster.hosts.filter(host => host !== leader);
}

export async function finish(t: ExecutionContext, cluster: ModelCluster) {
  await cluster.recoverAndCheck();
  t.deepEqual(cluster.invariants.violations, []);
}
