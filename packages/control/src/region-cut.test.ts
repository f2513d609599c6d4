import { ClaimOutcomeKind, type Milliseconds } from '@cranberryturn/types';
import test from 'ava';

import {
  type ClusterFixture,
  makeChanges,
  claimJob,
  composeClaim,
  getReplicaId,
  requireLeader,
  seed,
  settleWithin,
  startCluster,
  getConfigurationVersion,
} from './fakes/cluster-fixture.js';

const largeRegion = ['c1', 'c2', 'c3', 'd1'];
const smallRegion = ['c4', 'c5', 'd2'];
const partitionMilliseconds: Milliseconds = 3_600_000;
/** Time within which a change must be in force everywhere. */
const inForceMilliseconds: Milliseconds = 4_000;

function partitionRegions({ cluster }: ClusterFixture): void {
  for (const left of largeRegion) {
    for (const right of smallRegion) cluster.network.cut(left, right);
  }
}

test('two regions that are partitioned for an hour converge within four seconds', async t => {
  const fixture = await startCluster({ size: 5 });
  t.log(`seed ${String(seed)}`);
  const version = await makeChanges(fixture, 2);
  const large = fixture.cluster.connect('d1');
  const small = fixture.cluster.connect('d2');
  await fixture.timers.advance(inForceMilliseconds);
  t.is(
    await claimJob(fixture, small, 'before', 'd2'),
    ClaimOutcomeKind.Granted,
  );

  partitionRegions(fixture);
  await fixture.timers.advance(inForceMilliseconds);
  t.true(largeRegion.includes(getReplicaId(requireLeader(fixture))));
  t.is(await claimJob(fixture, large, 'early', 'd1'), ClaimOutcomeKind.Granted);
  const later = await makeChanges(fixture, 3);
  await fixture.timers.advance(inForceMilliseconds);
  t.is(large.configuration.current().version, later);
  t.false(small.isFresh());
  t.is(small.configuration.current().version, version);
  const startedAt = fixture.timers.now();
  const refused = await settleWithin(
    fixture.timers,
    small.claims.claimJob(composeClaim('cut-off', 'd2')),
  );
  t.true(refused.isErr());
  t.true(fixture.timers.now() - startedAt <= 500);

  await fixture.timers.advance(partitionMilliseconds);
  t.is(await claimJob(fixture, large, 'late', 'd1'), ClaimOutcomeKind.Granted);
  const seen: number[] = [];
  small.configuration.subscribe(next => seen.push(next.version));
  fixture.cluster.network.heal();
  await fixture.timers.advance(inForceMilliseconds);
  t.true(small.isFresh());
  t.is(small.configuration.current().version, later);
  t.deepEqual(
    [...seen].sort((one, other) => one - other),
    seen,
  );
  t.deepEqual(
    fixture.cluster.nodes().map(getConfigurationVersion),
    fixture.cluster.nodes().map(() => later),
  );
  t.is(await claimJob(fixture, small, 'late', 'd2'), ClaimOutcomeKind.Held);
  t.is(
    await claimJob(fixture, small, 'cut-off', 'd2'),
    ClaimOutcomeKind.Granted,
  );
});
