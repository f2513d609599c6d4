import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';
import { okAsync } from 'neverthrow';

import { increaseDelayMilliseconds } from './roster-confirmations.js';
import { ShareLedger } from './share-ledger.js';

const key = 'team/planning/concurrency';
const limit = 30;
const leaseMilliseconds = 6_000;

/** Creates dispatchers whose rosters the test changes in place of control. */
function createCluster(hasLease = false) {
  const timers = createManualTimerService();
  const ledgers = new Map<string, ShareLedger>();
  const unreachable = new Set<string>();
  const replaced = new Set<string>();
  let rosterVersion = 0;
  let names: readonly string[] = [];
  let calls = 0;

  const apply = (name: string): void => {
    ledgers.get(name)?.applyLimits(new Map([[key, limit]]), {
      count: Math.max(1, names.length),
      names,
      rosterVersion,
      replacesRun: replaced.has(name),
    });
  };
  const start = (name: string): void => {
    const ledger = new ShareLedger({
      dispatcherId: name,
      timers,
      membershipLeaseMilliseconds: hasLease ? leaseMilliseconds : undefined,
      exchange: {
        borrow: (peer, request) => {
          calls += 1;
          const lender = ledgers.get(peer);
          const isReachable = unreachable.has(peer) === unreachable.has(name);
          return okAsync(
            lender !== undefined && isReachable
              ? lender.lend(request)
              : { lent: [], loanMilliseconds: 0 },
          );
        },
      },
    });
    ledgers.set(name, ledger);
    apply(name);
  };
  const changeRoster = (...now: string[]): void => {
    rosterVersion += 1;
    names = now;
  };
  const listUsableUnits = () =>
    [...ledgers.values()].map(one => one.countUsableUnits(key));
  return {
    timers,
    ledgers,
    unreachable,
    replaced,
    apply,
    start,
    changeRoster,
    listUsableUnits,
    countBorrowCalls: () => calls,
    sum: () => listUsableUnits().reduce((left, right) => left + right, 0),
  };
}

test('dispatchers that start together get their allocations within a second and never exceed the limit', async t => {
  const cluster = createCluster();
  const names = ['dispatcher-1', 'dispatcher-2', 'dispatcher-3'];
  for (const name of names) cluster.start(name);
  t.deepEqual(cluster.listUsableUnits(), [0, 0, 0]);
  // Each dispatcher registers in turn, and the others apply the new roster later.
  for (let registered = 1; registered <= names.length; registered += 1) {
    cluster.changeRoster(...names.slice(0, registered));
    for (const name of [...names].reverse()) {
      await cluster.timers.advance(70);
      cluster.apply(name);
      t.true(cluster.sum() <= limit, String(cluster.listUsableUnits()));
    }
  }
  for (let step = 0; step < 20; step += 1) {
    await cluster.timers.advance(50);
    t.true(cluster.sum() <= limit, String(cluster.listUsableUnits()));
  }
  t.deepEqual(cluster.listUsableUnits(), [10, 10, 10]);
  const asked = cluster.countBorrowCalls();
  await cluster.timers.advance(5_000);
  t.is(cluster.countBorrowCalls(), asked);
});

test('a dispatcher that joins gets its allocation when its peers no longer use the units', async t => {
  const cluster = createCluster();
  cluster.changeRoster('dispatcher-1');
  cluster.start('dispatcher-1');
  t.deepEqual(cluster.listUsableUnits(), [limit]);
  cluster.ledgers.get('dispatcher-1')?.reportDemand(key, limit, limit);
  cluster.changeRoster('dispatcher-1', 'dispatcher-2');
  cluster.start('dispatcher-2');
  await cluster.timers.advance(1_000);
  t.deepEqual(
    cluster.listUsableUnits(),
    [limit, 0],
    'dispatcher-1 has not applied the roster yet',
  );
  cluster.apply('dispatcher-1');
  await cluster.timers.advance(1_000);
  t.deepEqual(cluster.listUsableUnits(), [15, 0], '30 tasks still run');
  cluster.ledgers.get('dispatcher-1')?.reportDemand(key, 15, 15);
  await cluster.timers.advance(500);
  t.deepEqual(cluster.listUsableUnits(), [15, 15]);
});

test('larger allocations wait for the increase delay after a crash or a departure', async t => {
  const cluster = createCluster();
  cluster.changeRoster('dispatcher-1', 'dispatcher-2');
  cluster.replaced.add('dispatcher-2');
  cluster.start('dispatcher-1');
  cluster.start('dispatcher-2');
  await cluster.timers.advance(increaseDelayMilliseconds - 1);
  t.deepEqual(cluster.listUsableUnits(), [0, 0]);
  await cluster.timers.advance(501);
  t.deepEqual(cluster.listUsableUnits(), [15, 15]);
  cluster.changeRoster('dispatcher-1', 'dispatcher-3');
  cluster.ledgers.delete('dispatcher-2');
  cluster.apply('dispatcher-1');
  cluster.start('dispatcher-3');
  await cluster.timers.advance(increaseDelayMilliseconds - 1);
  t.deepEqual(cluster.listUsableUnits(), [15, 0]);
  await cluster.timers.advance(501);
  t.deepEqual(cluster.listUsableUnits(), [15, 15]);
});

test('without control, a dispatcher keeps its allocation only while no peer has a later roster', async t => {
  const cluster = createCluster(true);
  const names = ['dispatcher-1', 'dispatcher-2'];
  cluster.changeRoster(...names);
  for (const name of names) cluster.start(name);
  await cluster.timers.advance(1_000);
  t.deepEqual(cluster.listUsableUnits(), [15, 15]);
  await cluster.timers.advance(60_000);
  t.deepEqual(
    cluster.listUsableUnits(),
    [15, 15],
    'control is unreachable for all',
  );
  cluster.unreachable.add('dispatcher-1');
  cluster.ledgers.get('dispatcher-2')?.confirmMembership();
  await cluster.timers.advance(leaseMilliseconds);
  t.is(
    cluster.ledgers.get('dispatcher-1')?.countUsableUnits(key),
    0,
    'dispatcher-1 is cut off',
  );
  cluster.unreachable.clear();
  cluster.changeRoster('dispatcher-2');
  cluster.apply('dispatcher-2');
  cluster.ledgers.get('dispatcher-2')?.confirmMembership();
  await cluster.timers.advance(5_000);
  t.is(
    cluster.ledgers.get('dispatcher-1')?.countUsableUnits(key),
    0,
    'dispatcher-2 has a later roster',
  );
});

test('a single dispatcher gets the whole limit at once, also when the clock advances during the call', t => {
  const timers = createManualTimerService();
  let reads = 0;
  const ledger = new ShareLedger({
    dispatcherId: 'dispatcher-1',
    timers: {
      ...timers,
      now: () => {
        reads += 1;
        return timers.now() + reads;
      },
    },
  });
  ledger.applyLimits(new Map([[key, limit]]), {
    count: 1,
    names: ['dispatcher-1'],
  });
  t.is(ledger.countUsableUnits(key), limit);
});
