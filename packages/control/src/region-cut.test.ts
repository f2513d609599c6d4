import { ClaimOutcomeKind, type Milliseconds } from '@cranberryturn/types';
import test from 'ava';

import {
  type Bed,
  changeTimes,
  claim,
  claimOf,
  hostOf,
  leaderOf,
  seed,
  settleWithin,
  startCluster,
  versionOf,
} from './fakes/test-bed.js';

const largeRegion = ['c1', 'c2', 'c3', 'd1'];
const smallRegion = ['c4', 'c5', 'd2'];
const cutMilliseconds: Milliseconds = 3_600_000;
/** Time in which a change must be in force everywhere. */
const inForceMilliseconds: Milliseconds = 4_000;

function cutRegions({ cluster }: Bed): void {
  for (const left of largeRegion) {
    for (const right of smallRegion) cluster.network.cut(left, right);
  }
}

test('two regions that lose each other for an hour agree again within four seconds', async t => {
  const bed = await startCluster({ size: 5 });
  t.log(`seed ${String(seed)}`);
  const version = await changeTimes(bed, 2);
  const large = bed.cluster.connect('d1');
  const small = bed.cluster.connect('d2');
  await bed.timers.advance(inForceMilliseconds);
  t.is(await claim(bed, small, 'before', 'd2'), ClaimOutcomeKind.Granted);

  cutRegions(bed);
  await bed.timers.advance(inForceMilliseconds);
  t.true(largeRegion.includes(hostOf(leaderOf(bed))));
  t.is(await claim(bed, large, 'early', 'd1'), ClaimOutcomeKind.Granted);
  const later = await changeTimes(bed, 3);
  await bed.timers.advance(inForceMilliseconds);
  t.is(large.configuration.current().version, later);
  t.false(small.isFresh());
  t.is(small.configuration.current().version, version);
  const startedAt = bed.timers.now();
  const refused = await settleWithin(
    bed.timers,
    small.claims.claimJob(claimOf('cut-off', 'd2')),
  );
  t.true(refused.isErr());
  t.true(bed.timers.now() - startedAt <= 500);

  await bed.timers.advance(cutMilliseconds);
  t.is(await claim(bed, large, 'late', 'd1'), ClaimOutcomeKind.Granted);
  const seen: number[] = [];
  small.configuration.subscribe(next => seen.push(next.version));
  bed.cluster.network.heal();
  await bed.timers.advance(inForceMilliseconds);
  t.true(small.isFresh());
  t.is(small.configuration.current().version, later);
  t.deepEqual(
    [...seen].sort((one, other) => one - other),
    seen,
  );
  t.deepEqual(
    bed.cluster.nodes().map(versionOf),
    bed.cluster.nodes().map(() => later),
  );
  t.is(await claim(bed, small, 'late', 'd2'), ClaimOutcomeKind.Held);
  t.is(await claim(bed, small, 'cut-off', 'd2'), ClaimOutcomeKind.Granted);
});
