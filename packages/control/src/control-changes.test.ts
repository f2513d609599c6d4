import { ClaimOutcomeKind } from '@cranberryturn/types';
import test from 'ava';

import { AdministrationReplyKind } from './administration-calls.js';
import {
  assertRefused,
  makeChanges,
  claimJob,
  confirmPlan,
  electionMilliseconds,
  getReplicaId,
  requireLeader,
  planQuotaChange,
  settleWithin,
  startCluster,
  getConfigurationVersion,
} from './fakes/cluster-fixture.js';

test('of two confirms with the same base version one wins, and the other is told who won', async t => {
  const fixture = await startCluster();
  const left = await planQuotaChange(fixture, requireLeader(fixture), 'left');
  const right = await planQuotaChange(fixture, requireLeader(fixture), 'right');
  const [host] = fixture.cluster
    .nodes()
    .filter(node => node !== requireLeader(fixture));
  const won = await confirmPlan(
    fixture,
    requireLeader(fixture),
    left.planId,
    'request-a',
    'linh',
  );
  const lost = await confirmPlan(
    fixture,
    host ?? requireLeader(fixture),
    right.planId,
    'request-b',
    'ana',
  );
  t.is(won.kind, AdministrationReplyKind.Done);
  t.regex(
    assertRefused(t, lost, AdministrationReplyKind.Conflict),
    /^linh changed the configuration first: set-quota, version 2, at 2023-/,
  );
});

test('a retried confirm gets its original outcome after a leader change and a snapshot', async t => {
  const fixture = await startCluster({
    tuning: { snapshotEntries: 16, trailingEntries: 4 },
  });
  const plan = await planQuotaChange(
    fixture,
    requireLeader(fixture),
    'traders',
  );
  const first = await confirmPlan(
    fixture,
    requireLeader(fixture),
    plan.planId,
    'request-1',
  );
  await makeChanges(fixture, 40);
  t.true(requireLeader(fixture).log.status().snapshotIndex > 0);
  const lost = getReplicaId(requireLeader(fixture));
  await fixture.cluster.crash(lost);
  await fixture.timers.advance(electionMilliseconds);
  await fixture.cluster.start(lost);
  await fixture.timers.advance(electionMilliseconds);
  t.deepEqual(
    await confirmPlan(
      fixture,
      requireLeader(fixture),
      plan.planId,
      'request-1',
    ),
    first,
  );
});

test('a replica and a dispatcher that missed 600 changes are up to date soon after they start', async t => {
  const fixture = await startCluster({
    tuning: { snapshotEntries: 256, trailingEntries: 16 },
  });
  const [lost] = fixture.cluster
    .nodes()
    .map(getReplicaId)
    .filter(host => host !== getReplicaId(requireLeader(fixture)));
  await fixture.cluster.crash(lost ?? '');
  const version = await makeChanges(fixture, 600);
  const restarted = await fixture.cluster.start(lost ?? '');
  const client = fixture.cluster.connect('d9');
  await fixture.timers.advance(2_000);
  t.is(getConfigurationVersion(restarted), version);
  t.is(client.configuration.current().version, version);
  t.is(client.configuration.current().teams.length, 600);
});

test('a planned stop transfers leadership before the process ends', async t => {
  const fixture = await startCluster();
  const client = fixture.cluster.connect('d1');
  await fixture.timers.advance(500);
  const leader = requireLeader(fixture);
  const stopped = leader.stop();
  await settleWithin(fixture.timers, stopped, 1_000);
  await fixture.timers.advance(200);
  t.not(getReplicaId(requireLeader(fixture)), getReplicaId(leader));
  t.is(
    await claimJob(fixture, client, 'after', 'd1'),
    ClaimOutcomeKind.Granted,
  );
});
