/**
 * Measures, in simulated time, how long control has no leader after the leader crashes or is
 * partitioned off.
 */
import type { ManualTimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import { createControlCluster } from '../fakes/control-cluster.js';

const warmUpMilliseconds: Milliseconds = 4_000;
const stepMilliseconds: Milliseconds = 10;
const limitMilliseconds: Milliseconds = 10_000;

/** How the leader is lost: by a crash, or by a partition from the other replicas. */
export enum LeaderLoss {
  Crash = 'crash',
  CutOff = 'cut-off',
}

/**
 * Measures the time until another replica leads in a later term, at most 10 s. The same seed gives
 * the same time.
 */
export async function measureLeaderlessTime(options: {
  readonly timers: ManualTimerService;
  readonly seed: number;
  readonly loss: LeaderLoss;
}): Promise<Milliseconds> {
  const { timers, seed, loss } = options;
  const cluster = createControlCluster({ timers, seed, size: 3 });
  const starts = ['c1', 'c2', 'c3'].map(host => cluster.start(host));
  await timers.advance(warmUpMilliseconds);
  await Promise.all(starts);
  await timers.advance(warmUpMilliseconds);
  const lost = cluster.leader()?.log.status();
  if (lost === undefined) throw new Error('The cluster elected no leader.');
  const startedAt = timers.now();
  if (loss === LeaderLoss.Crash) await cluster.crash(lost.replicaId);
  else cluster.cutFromReplicas(lost.replicaId);
  const isReplaced = (): boolean => {
    const found = cluster.leader()?.log.status();
    return found !== undefined && found.term > lost.term;
  };
  while (!isReplaced() && timers.now() - startedAt < limitMilliseconds) {
    await timers.advance(stepMilliseconds);
  }
  const waited = timers.now() - startedAt;
  await stopAll(timers, cluster);
  return waited;
}

async function stopAll(
  timers: ManualTimerService,
  cluster: ReturnType<typeof createControlCluster>,
): Promise<void> {
  const stops = cluster.nodes().map(node => node.stop());
  await timers.advance(warmUpMilliseconds);
  await Promise.all(stops);
}
