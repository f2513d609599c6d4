import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';
import { okAsync } from 'neverthrow';

import { increaseDelayMilliseconds } from './roster-confirmations.js';
import { ShareLedger } from './share-ledger.js';

const limit = 'team/planning/concurrency';

function createLedgers(membershipLeaseMilliseconds?: number) {
  const timers = createManualTimerService();
  const ledgers = new Map<string, ShareLedger>();
  const cutOff = new Set<string>();
  let calls = 0;
  const names = ['dispatcher-1', 'dispatcher-2', 'dispatcher-3'];
  for (const dispatcherId of names) {
    const ledger = new ShareLedger({
      dispatcherId,
      timers,
      membershipLeaseMilliseconds,
      exchange: {
        borrow: (peer, request) => {
          calls += 1;
          const lender = ledgers.get(peer);
          if (
            lender === undefined ||
            cutOff.has(peer) !== cutOff.has(dispatcherId)
          )
            return okAsync({ lent: [], loanMilliseconds: 0 });
          return okAsync(lender.lend(request));
        },
      },
    });
    ledger.applyLimits(new Map([[limit, 30]]), { count: 3, names });
    ledgers.set(dispatcherId, ledger);
  }
  const listUsableUnits = (): number[] =>
    [...ledgers.values()].map(ledger => ledger.countUsableUnits(limit));
  return {
    timers,
    ledgers,
    cutOff,
    names,
    listUsableUnits,
    countBorrowCalls: () => calls,
  };
}

test('units move to the dispatcher under load, never exceed the limit, and cost no message without demand', async t => {
  const { timers, ledgers, listUsableUnits, countBorrowCalls } =
    createLedgers();
  t.deepEqual(listUsableUnits(), [0, 0, 0]);
  await timers.advance(increaseDelayMilliseconds + 1_000);
  t.deepEqual(listUsableUnits(), [10, 10, 10]);
  t.is(countBorrowCalls(), 0);
  const [busy, idle] = [...ledgers.values()];
  busy?.reportDemand(limit, 10, 40);
  for (let step = 0; step < 40; step += 1) {
    await timers.advance(100);
    t.true(listUsableUnits().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.true((busy?.countUsableUnits(limit) ?? 0) >= 26, String(listUsableUnits()));
  t.true(countBorrowCalls() <= 20, String(countBorrowCalls()));
  busy?.reportDemand(limit, 0, 0);
  idle?.reportDemand(limit, 5, 30);
  for (let step = 0; step < 80; step += 1) {
    await timers.advance(100);
    t.true(listUsableUnits().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.true((idle?.countUsableUnits(limit) ?? 0) >= 20, String(listUsableUnits()));
});

test('units lent to a dispatcher that is cut off are used again only after the loan has expired', async t => {
  const { timers, ledgers, cutOff, listUsableUnits } = createLedgers();
  await timers.advance(increaseDelayMilliseconds);
  const [first] = [...ledgers.values()];
  first?.reportDemand(limit, 10, 40);
  await timers.advance(1_500);
  const borrowed = first?.countUsableUnits(limit) ?? 0;
  t.true(borrowed > 10);
  cutOff.add('dispatcher-1');
  for (let step = 0; step < 60; step += 1) {
    await timers.advance(100);
    t.true(listUsableUnits().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.deepEqual(listUsableUnits(), [10, 10, 10]);
});

test('the allocation of a removed dispatcher is used by others only after its membership lease', async t => {
  const { timers, ledgers, names, listUsableUnits } = createLedgers(6_000);
  await timers.advance(increaseDelayMilliseconds);
  for (const ledger of ledgers.values()) ledger.confirmMembership();
  const remaining = names.slice(1);
  for (const name of remaining)
    ledgers
      .get(name)
      ?.applyLimits(new Map([[limit, 30]]), { count: 2, names: remaining });
  for (let step = 0; step < 100; step += 1) {
    for (const name of remaining) ledgers.get(name)?.confirmMembership();
    await timers.advance(100);
    t.true(listUsableUnits().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.deepEqual(listUsableUnits(), [0, 15, 15]);
});
