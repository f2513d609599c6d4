import test from 'ava';

import {
  getReplicaId,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';

const target = {
  targetId: 't1',
  incarnation: 'run-1',
  service: 'register-svc',
  host: 'h1',
  rack: 'r1',
  dataCentre: 'north',
  resources: { processors: 1, memoryMebibytes: 1, accelerators: 0 },
  slots: 1,
  connections: 1,
};
const dispatcher = {
  dispatcherId: 'd9',
  incarnation: 'run-1',
  address: { address: '127.0.0.1', port: 9 },
};

test('runs that were retired stay out of the roster after a restart of every replica', async t => {
  const fixture = await startCluster();
  const { timers, cluster } = fixture;
  const { registry } = cluster.connect('d1');
  await timers.advance(1_000);
  await settleWithin(timers, registry.registerTarget(target));
  await settleWithin(timers, registry.registerDispatcher(dispatcher));
  const { roster } = requireLeader(fixture).state;
  t.deepEqual([roster.targets.size, roster.dispatchers.size], [1, 1]);
  await settleWithin(timers, registry.retireTarget(target));
  await settleWithin(timers, registry.retireDispatcher(dispatcher));
  const hosts = cluster.nodes().map(getReplicaId);
  for (const host of hosts) await cluster.crash(host);
  const starts = hosts.map(host => cluster.start(host));
  await timers.advance(5_000);
  await Promise.all(starts);
  await settleWithin(timers, registry.registerTarget(target));
  await settleWithin(timers, registry.registerDispatcher(dispatcher));
  const after = requireLeader(fixture).state.roster;
  t.deepEqual([after.targets.size, after.dispatchers.size], [0, 0]);
});
