import {
  type PlanView,
  ReplicaStatus,
  type StatusView,
} from '@cranberryturn/configuration';
import { ClaimOutcomeKind, IntentKind } from '@cranberryturn/types';
import test from 'ava';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import {
  changeTimes,
  claim,
  claimOf,
  confirm,
  hostOf,
  leaderOf,
  planQuota,
  settleWithin,
  startCluster,
  versionOf,
} from './fakes/test-bed.js';

test('claims go on within two seconds after the leader dies', async t => {
  const bed = await startCluster();
  const client = bed.cluster.connect('d1');
  await bed.timers.advance(500);
  t.is(await claim(bed, client, 'before', 'd1'), ClaimOutcomeKind.Granted);
  await bed.cluster.crash(hostOf(leaderOf(bed)));
  const startedAt = bed.timers.now();
  t.is(await claim(bed, client, 'after', 'd1'), ClaimOutcomeKind.Granted);
  t.true(bed.timers.now() - startedAt <= 2_000);
  t.is(await claim(bed, client, 'before', 'd1'), ClaimOutcomeKind.Granted);
});

test('a follower leaves a host that was cut off from its majority within two seconds', async t => {
  const bed = await startCluster();
  const clients = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'].map(name =>
    bed.cluster.connect(name),
  );
  await bed.timers.advance(1_000);
  const leader = leaderOf(bed);
  bed.cluster.cutFromReplicas(hostOf(leader));
  await bed.timers.advance(2_000);
  const other = leaderOf(bed);
  t.not(hostOf(other), hostOf(leader));
  const plan = await planQuota(bed, other, 'traders');
  await confirm(bed, other, plan.planId, 'request-1');
  await bed.timers.advance(500);
  t.deepEqual(
    clients.map(client => client.configuration.current().version),
    clients.map(() => 2),
  );
  t.true(clients.every(client => client.isFresh()));
  t.is(versionOf(leader), 1);
});

test('a host that was cut off for a long time catches up and brings nothing old back', async t => {
  const bed = await startCluster();
  const old = leaderOf(bed);
  const client = bed.cluster.connect('d1');
  const plan = await planQuota(bed, old, 'lost');
  bed.cluster.cutFromReplicas(hostOf(old));
  const lost = await confirm(bed, old, plan.planId, 'request-lost');
  t.is(lost.kind, AdministrationReplyKind.Unavailable);
  await bed.timers.advance(60_000);
  const version = await changeTimes(bed, 5);
  await bed.timers.advance(3_000);
  const seen: number[] = [];
  client.configuration.subscribe(next => seen.push(next.version));
  bed.cluster.network.heal();
  await bed.timers.advance(5_000);
  t.is(versionOf(old), version);
  t.is(client.configuration.current().version, version);
  t.deepEqual(
    [...seen].sort((left, right) => left - right),
    seen,
  );
});

test('two of three hosts lost at once: nothing is accepted, and nothing accepted is lost', async t => {
  const bed = await startCluster();
  const version = await changeTimes(bed, 3);
  const client = bed.cluster.connect('d1');
  await bed.timers.advance(500);
  t.is(await claim(bed, client, 'kept', 'd1'), ClaimOutcomeKind.Granted);
  const [first, second] = bed.cluster.nodes().map(hostOf);
  await bed.cluster.crash(first ?? '');
  await bed.cluster.crash(second ?? '');
  const refused = await settleWithin(
    bed.timers,
    client.claims.claimJob(claimOf('refused', 'd1')),
  );
  t.true(refused.isErr());
  t.false(client.isFresh());
  t.is(client.configuration.current().version, version);
  await bed.cluster.start(first ?? '');
  await bed.cluster.start(second ?? '');
  await bed.timers.advance(4_000);
  t.is(await claim(bed, client, 'kept', 'd2'), ClaimOutcomeKind.Held);
  t.deepEqual(bed.cluster.nodes().map(versionOf), [version, version, version]);
});

test('a host is replaced by a blank one, and a second is lost right after', async t => {
  const bed = await startCluster();
  const version = await changeTimes(bed, 3);
  const client = bed.cluster.connect('d1');
  await bed.timers.advance(500);
  t.is(await claim(bed, client, 'kept', 'd1'), ClaimOutcomeKind.Granted);
  const [lost] = bed.cluster
    .nodes()
    .map(hostOf)
    .filter(host => host !== hostOf(leaderOf(bed)));
  await bed.cluster.crash(lost ?? '');
  const blank = await bed.cluster.startBlank('c4');
  const replacement = bed.cluster.describeHost('c4', hostOf(blank));
  const planned = await settleWithin(
    bed.timers,
    leaderOf(bed).administer({
      method: AdministrationMethod.Plan,
      input: {
        kind: IntentKind.ReplaceControlHost,
        replicaId: lost,
        replacement,
      },
    }),
  );
  if (planned.kind !== AdministrationReplyKind.Done) {
    t.fail(planned.refusal.error);
    return;
  }
  const { planId } = planned.view as PlanView;
  t.is(
    (await confirm(bed, leaderOf(bed), planId, 'request-1')).kind,
    AdministrationReplyKind.Done,
  );
  await bed.timers.advance(5_000);
  t.deepEqual(
    leaderOf(bed)
      .log.status()
      .members.map(member => member.role),
    ['voter', 'voter', 'voter'],
  );
  await bed.cluster.crash(hostOf(leaderOf(bed)));
  await bed.timers.advance(3_000);
  t.is(await claim(bed, client, 'kept', 'd2'), ClaimOutcomeKind.Held);
  t.is(await claim(bed, client, 'new', 'd1'), ClaimOutcomeKind.Granted);
  t.is(versionOf(leaderOf(bed)), version + 1);
});

test('the status names a control host that died', async t => {
  const bed = await startCluster();
  const lost = bed.cluster
    .nodes()
    .map(hostOf)
    .find(host => host !== hostOf(leaderOf(bed)));
  await bed.cluster.crash(lost ?? '');
  await bed.timers.advance(4_000);
  const reply = await settleWithin(
    bed.timers,
    leaderOf(bed).administer({ method: AdministrationMethod.Status }),
  );
  if (reply.kind !== AdministrationReplyKind.Done) {
    t.fail(reply.refusal.error);
    return;
  }
  const { replicas } = reply.view as StatusView;
  t.deepEqual(
    replicas
      .filter(replica => replica.status === ReplicaStatus.Silent)
      .map(replica => replica.replicaId),
    [lost],
  );
});

test('a dispatcher that has long been cut off from all control is told so at once', async t => {
  const bed = await startCluster();
  const moves: (string | undefined)[] = [];
  const client = bed.cluster.connect('d1', 'run-1', host => moves.push(host));
  await bed.timers.advance(1_000);
  for (const host of bed.cluster.nodes().map(hostOf)) {
    bed.cluster.network.cut('d1', host);
  }
  await bed.timers.advance(10_000);
  const startedAt = bed.timers.now();
  const refused = await settleWithin(
    bed.timers,
    client.claims.claimJob(claimOf('refused', 'd1')),
  );
  t.true(refused.isErr());
  t.true(bed.timers.now() - startedAt <= 500);
  t.false(client.isFresh());
  t.is(client.configuration.current().version, 1);
  t.true(moves.length < 10);
  bed.cluster.network.heal();
  await bed.timers.advance(4_000);
  t.true(client.isFresh());
  t.is(await claim(bed, client, 'later', 'd1'), ClaimOutcomeKind.Granted);
});
