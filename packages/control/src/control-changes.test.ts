import { ClaimOutcomeKind } from '@cranberryturn/types';
import test from 'ava';

import { AdministrationReplyKind } from './administration-calls.js';
import {
  assertRefused,
  changeTimes,
  claim,
  confirm,
  electionMilliseconds,
  hostOf,
  leaderOf,
  planQuota,
  settleWithin,
  startCluster,
  versionOf,
} from './fakes/test-bed.js';

test('of two operators with one base version one wins, and the other learns who', async t => {
  const bed = await startCluster();
  const left = await planQuota(bed, leaderOf(bed), 'left');
  const right = await planQuota(bed, leaderOf(bed), 'right');
  const [host] = bed.cluster.nodes().filter(node => node !== leaderOf(bed));
  const won = await confirm(
    bed,
    leaderOf(bed),
    left.planId,
    'request-a',
    'linh',
  );
  const lost = await confirm(
    bed,
    host ?? leaderOf(bed),
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

test('a resent confirm gets its first outcome after a change of leader and a snapshot', async t => {
  const bed = await startCluster({
    tuning: { snapshotEntries: 16, trailingEntries: 4 },
  });
  const plan = await planQuota(bed, leaderOf(bed), 'traders');
  const first = await confirm(bed, leaderOf(bed), plan.planId, 'request-1');
  await changeTimes(bed, 40);
  t.true(leaderOf(bed).log.status().snapshotIndex > 0);
  const lost = hostOf(leaderOf(bed));
  await bed.cluster.crash(lost);
  await bed.timers.advance(electionMilliseconds);
  await bed.cluster.start(lost);
  await bed.timers.advance(electionMilliseconds);
  t.deepEqual(
    await confirm(bed, leaderOf(bed), plan.planId, 'request-1'),
    first,
  );
});

test('a replica and a dispatcher that missed 600 changes are in force soon after they restart', async t => {
  const bed = await startCluster({
    tuning: { snapshotEntries: 256, trailingEntries: 16 },
  });
  const [lost] = bed.cluster
    .nodes()
    .map(hostOf)
    .filter(host => host !== hostOf(leaderOf(bed)));
  await bed.cluster.crash(lost ?? '');
  const version = await changeTimes(bed, 600);
  const restarted = await bed.cluster.start(lost ?? '');
  const client = bed.cluster.connect('d9');
  await bed.timers.advance(2_000);
  t.is(versionOf(restarted), version);
  t.is(client.configuration.current().version, version);
  t.is(client.configuration.current().teams.length, 600);
});

test('a planned stop hands over the lead before the process ends', async t => {
  const bed = await startCluster();
  const client = bed.cluster.connect('d1');
  await bed.timers.advance(500);
  const leader = leaderOf(bed);
  const stopped = leader.stop();
  await settleWithin(bed.timers, stopped, 1_000);
  await bed.timers.advance(200);
  t.not(hostOf(leaderOf(bed)), hostOf(leader));
  t.is(await claim(bed, client, 'after', 'd1'), ClaimOutcomeKind.Granted);
});
