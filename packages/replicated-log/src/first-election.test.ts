/** Elections of voters that all start together, as after a power cut. */
import test from 'ava';

import { ModelCluster } from './model/model-cluster.js';

const seeds = 20;
const diskSyncMilliseconds = 10;
/** Processes that have just started answer slowly. */
const slowNetwork = { dropShare: 0, duplicateShare: 0, maximumDelay: 15 };
/** Less than an election timeout: no vote was split. */
const limitMilliseconds = 350;
const stopMilliseconds = 5_000;

/** Starts all voters but the first of a cluster that lost its power, and returns the time until one leads. */
async function measureElection(seed: number): Promise<number> {
  const cluster = new ModelCluster(4, seed);
  const { hosts, timers, network } = cluster;
  await cluster.start();
  await timers.advance(1_000);
  for (const host of hosts) {
    host.crash();
    host.disk.setSyncDelay(diskSyncMilliseconds);
  }
  network.setFaults(slowNetwork);
  await timers.advance(200);
  const startedAt = timers.now();
  for (const host of hosts.slice(1)) host.open();
  while (
    cluster.leader() === undefined &&
    timers.now() - startedAt < stopMilliseconds
  )
    await timers.advance(1);
  const elapsed = timers.now() - startedAt;
  await cluster.recoverAndCheck();
  cluster.stop();
  return elapsed;
}

test('voters that start together do not split their votes, also where every one of them has to vote', async t => {
  const elections: number[] = [];
  for (let seed = 1; seed <= seeds; seed += 1)
    elections.push(await measureElection(seed));
  t.true(Math.max(...elections) < limitMilliseconds, elections.join(' '));
});
