import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';
import fastCheck from 'fast-check';
import { okAsync } from 'neverthrow';

import { type AdmissionQuestion, decideAdmission } from './decide-admission.js';
import { divideLimit } from './divide-limit.js';
import { FairQueue, type QueuedJob } from './fair-queue.js';
import { LimitGate } from './limit-gate.js';
import { createHeapNode, type HeapNode, RankedHeap } from './ranked-heap.js';
import { raiseDelayMilliseconds } from './confirm-parts.js';
import { ShareLedger } from './share-ledger.js';

const limit = 'team/planning/concurrency';
const seed = 20_261_203;

test(`a divided limit adds up and is fair (seed ${String(seed)})`, t => {
  const demands = fastCheck.array(fastCheck.nat(500), { minLength: 1 });
  const holds = fastCheck.property(
    fastCheck.nat(1_000),
    demands,
    (units, wanted) => {
      const shares = divideLimit(units, wanted);
      const sum = shares.reduce((left, right) => left + right, 0);
      const equal = Math.floor(units / wanted.length);
      const fair = shares.every(
        (share, position) => share >= Math.min(equal, wanted[position] ?? 0),
      );
      return sum === units && fair;
    },
  );
  t.notThrows(() => {
    fastCheck.assert(holds, { seed });
  });
});

function turn(now: number) {
  return { now, mayStart: () => true };
}

test('capacity is shared by weight, and a started job whose time has come finishes before a new one starts', t => {
  const queue = new FairQueue<QueuedJob>();
  queue.changeWeight('heavy', 3);
  for (let number = 0; number < 40; number += 1) {
    for (const team of ['heavy', 'light'])
      queue.addFresh(createHeapNode({ team, cost: 100, latestStart: 0 }));
  }
  const served: string[] = [];
  for (let round = 0; round < 40; round += 1) {
    const node = queue.next(turn(1));
    if (node === undefined) break;
    queue.markStarted(node);
    t.is(queue.next(turn(1)), node);
    served.push(node.value.team);
    queue.remove(node);
  }
  t.is(served.filter(team => team === 'heavy').length, 30);
});

test('a started job gives way to a more urgent one until its own time has come', t => {
  const queue = new FairQueue<QueuedJob>();
  const add = (team: string, latestStart: number) => {
    const node = createHeapNode({ team, cost: 100, latestStart });
    queue.addFresh(node);
    return node;
  };
  const wide = add('planning', 900);
  queue.markStarted(wide);
  const urgent = add('planning', 500);
  const patient = add('planning', 950);
  const ofOther = add('traders', 990);
  t.is(queue.next(turn(0)), wide, 'the team that is behind has nothing urgent');
  queue.remove(ofOther);
  t.is(queue.next(turn(899)), urgent);
  t.is(queue.next(turn(900)), wide);
  queue.remove(urgent);
  t.is(queue.next(turn(0)), wide);
  queue.remove(wide);
  t.is(queue.next(turn(0)), patient);
});

test(`any order of changes leaves the lowest rank first (seed ${String(seed)})`, t => {
  const changes = fastCheck.array(
    fastCheck.tuple(fastCheck.nat(30), fastCheck.nat(100)),
    { maxLength: 200 },
  );
  const holds = fastCheck.property(changes, steps => {
    const heap = new RankedHeap<number>();
    const nodes = Array.from({ length: 31 }, (_, at) => createHeapNode(at));
    const members = new Set<HeapNode<number>>();
    for (const [at, rank] of steps) {
      const node = nodes[at];
      if (node === undefined) return false;
      if (members.delete(node)) heap.remove(node);
      else {
        node.rank = rank;
        heap.add(node);
        members.add(node);
      }
      const lowest = Math.min(...[...members].map(one => one.rank));
      if (heap.length !== members.size) return false;
      if (members.size > 0 && heap.first?.rank !== lowest) return false;
    }
    return true;
  });
  t.notThrows(() => {
    fastCheck.assert(holds, { seed });
  });
});

test('a rate is held over every second, with a tenth of a second saved', t => {
  const gate = new LimitGate();
  gate.changeStartsPerSecond(50, 0);
  let started = 0;
  for (let now = 0; now < 3_000; now += 1) {
    if (!gate.mayStart(now)) continue;
    gate.taskStarted();
    started += 1;
  }
  t.true(started <= 50 * 3 + 5, String(started));
  t.true(started >= 145, String(started));
});

const calm: AdmissionQuestion = {
  service: 'register',
  team: 'planning',
  tasks: 4,
  deadlineMilliseconds: 1_000,
  workMilliseconds: 800,
  shortestRunMilliseconds: 50,
  targets: 11,
  missingResource: undefined,
  queueLimit: 100,
  queuedTasks: 0,
  freeSlots: 20,
  backlogMilliseconds: 0,
  parallelism: 20,
  teamQueuedTasks: 0,
  teamBacklogMilliseconds: 0,
  teamParallelism: Number.POSITIVE_INFINITY,
  teamFairShare: 1,
};

test('refusals carry a reason and the time to come back', t => {
  const busy = { ...calm, freeSlots: 0, backlogMilliseconds: 40_000 };
  const cases: Record<string, AdmissionQuestion> = {
    calm,
    'no target': { ...calm, targets: 0 },
    impossible: { ...calm, missingResource: '2 accelerators' },
    'full queue': { ...calm, freeSlots: 0, queuedTasks: 98 },
    'greedy team': {
      ...calm,
      freeSlots: 0,
      queuedTasks: 80,
      teamQueuedTasks: 70,
      teamFairShare: 0.5,
    },
    'modest team beside a greedy one': {
      ...calm,
      freeSlots: 0,
      queuedTasks: 80,
      teamQueuedTasks: 0,
      teamFairShare: 0.5,
    },
    'deadline too close': { ...busy, teamBacklogMilliseconds: 40_000 },
    'a team without backlog goes ahead': { ...busy, teamFairShare: 0.5 },
    'no part of the quota': { ...calm, teamParallelism: 0 },
    'over quota': {
      ...calm,
      teamParallelism: 1,
      teamBacklogMilliseconds: 2_000,
    },
  };
  for (const [name, question] of Object.entries(cases))
    t.snapshot(decideAdmission(question, 0), name);
});

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
  const heldOf = (): number[] =>
    [...ledgers.values()].map(ledger => ledger.held(limit));
  return { timers, ledgers, cutOff, names, heldOf, countCalls: () => calls };
}

test('shares move to where the load is, never above the limit, and cost no message while nobody asks', async t => {
  const { timers, ledgers, heldOf, countCalls } = createLedgers();
  t.deepEqual(heldOf(), [0, 0, 0]);
  await timers.advance(raiseDelayMilliseconds + 1_000);
  t.deepEqual(heldOf(), [10, 10, 10]);
  t.is(countCalls(), 0);
  const [busy, idle] = [...ledgers.values()];
  busy?.reportDemand(limit, 10, 40);
  for (let step = 0; step < 40; step += 1) {
    await timers.advance(100);
    t.true(heldOf().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.true((busy?.held(limit) ?? 0) >= 26, String(heldOf()));
  t.true(countCalls() <= 20, String(countCalls()));
  busy?.reportDemand(limit, 0, 0);
  idle?.reportDemand(limit, 5, 30);
  for (let step = 0; step < 80; step += 1) {
    await timers.advance(100);
    t.true(heldOf().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.true((idle?.held(limit) ?? 0) >= 20, String(heldOf()));
});

test('units lent to a dispatcher that is cut off are used again only after the loan has ended', async t => {
  const { timers, ledgers, cutOff, heldOf } = createLedgers();
  await timers.advance(raiseDelayMilliseconds);
  const [first] = [...ledgers.values()];
  first?.reportDemand(limit, 10, 40);
  await timers.advance(1_500);
  const borrowed = first?.held(limit) ?? 0;
  t.true(borrowed > 10);
  cutOff.add('dispatcher-1');
  for (let step = 0; step < 60; step += 1) {
    await timers.advance(100);
    t.true(heldOf().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.deepEqual(heldOf(), [10, 10, 10]);
});

test('the part of a removed dispatcher is used by others only after its membership lease', async t => {
  const { timers, ledgers, names, heldOf } = createLedgers(6_000);
  await timers.advance(raiseDelayMilliseconds);
  for (const ledger of ledgers.values()) ledger.confirmMembership();
  const remaining = names.slice(1);
  for (const name of remaining)
    ledgers
      .get(name)
      ?.applyLimits(new Map([[limit, 30]]), { count: 2, names: remaining });
  for (let step = 0; step < 100; step += 1) {
    for (const name of remaining) ledgers.get(name)?.confirmMembership();
    await timers.advance(100);
    t.true(heldOf().reduce((sum, one) => sum + one, 0) <= 30);
  }
  t.deepEqual(heldOf(), [0, 15, 15]);
});
