import test from 'ava';
import fastCheck from 'fast-check';

import { type AdmissionInput, decideAdmission } from './decide-admission.js';
import { divideLimit } from './divide-limit.js';
import { FairQueue, type QueuedJob } from './fair-queue.js';
import { TaskLimiter } from './task-limiter.js';
import { createHeapNode, type HeapNode, RankedHeap } from './ranked-heap.js';

const seed = 20_261_203;

test(`parts of a divided limit add up to the limit and are fair (seed ${String(seed)})`, t => {
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

function createCriteria(now: number) {
  return { now, canStart: () => true };
}

test('capacity is shared by weight, and a started job past its latest start finishes before a new one starts', t => {
  const queue = new FairQueue<QueuedJob>();
  queue.setWeight('heavy', 3);
  for (let number = 0; number < 40; number += 1) {
    for (const team of ['heavy', 'light'])
      queue.addUnstarted(
        createHeapNode({ team, costMilliseconds: 100, latestStart: 0 }),
      );
  }
  const served: string[] = [];
  for (let round = 0; round < 40; round += 1) {
    const node = queue.selectNextJob(createCriteria(1));
    if (node === undefined) break;
    queue.markStarted(node);
    t.is(queue.selectNextJob(createCriteria(1)), node);
    served.push(node.value.team);
    queue.remove(node);
  }
  t.is(served.filter(team => team === 'heavy').length, 30);
});

test('a started job yields to a more urgent one until its own latest start', t => {
  const queue = new FairQueue<QueuedJob>();
  const add = (team: string, latestStart: number) => {
    const node = createHeapNode({ team, costMilliseconds: 100, latestStart });
    queue.addUnstarted(node);
    return node;
  };
  const wide = add('planning', 900);
  queue.markStarted(wide);
  const urgent = add('planning', 500);
  const patient = add('planning', 950);
  const ofOther = add('traders', 990);
  t.is(
    queue.selectNextJob(createCriteria(0)),
    wide,
    'the least-served team has no more urgent job',
  );
  queue.remove(ofOther);
  t.is(queue.selectNextJob(createCriteria(899)), urgent);
  t.is(queue.selectNextJob(createCriteria(900)), wide);
  queue.remove(urgent);
  t.is(queue.selectNextJob(createCriteria(0)), wide);
  queue.remove(wide);
  t.is(queue.selectNextJob(createCriteria(0)), patient);
});

test(`the heap returns the lowest rank after any sequence of changes (seed ${String(seed)})`, t => {
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

test('starts stay within the rate and a burst of a tenth of a second', t => {
  const gate = new TaskLimiter();
  gate.setStartsPerSecondShare(50, 0);
  let started = 0;
  for (let now = 0; now < 3_000; now += 1) {
    if (!gate.canStart(now)) continue;
    gate.recordTaskStart();
    started += 1;
  }
  t.true(started <= 50 * 3 + 5, String(started));
  t.true(started >= 145, String(started));
});

const idle: AdmissionInput = {
  service: 'register',
  team: 'planning',
  tasks: 4,
  deadlineMilliseconds: 1_000,
  workMilliseconds: 800,
  minimumRunMilliseconds: 50,
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

test('refusals carry a reason and the time to retry', t => {
  const busyInput = { ...idle, freeSlots: 0, backlogMilliseconds: 40_000 };
  const cases: Record<string, AdmissionInput> = {
    idle,
    'no target': { ...idle, targets: 0 },
    impossible: { ...idle, missingResource: '2 accelerators' },
    'full queue': { ...idle, freeSlots: 0, queuedTasks: 98 },
    'team above its fair share': {
      ...idle,
      freeSlots: 0,
      queuedTasks: 80,
      teamQueuedTasks: 70,
      teamFairShare: 0.5,
    },
    'team within its fair share': {
      ...idle,
      freeSlots: 0,
      queuedTasks: 80,
      teamQueuedTasks: 0,
      teamFairShare: 0.5,
    },
    'deadline too close': { ...busyInput, teamBacklogMilliseconds: 40_000 },
    'team without backlog': { ...busyInput, teamFairShare: 0.5 },
    'no part of the quota': { ...idle, teamParallelism: 0 },
    'over quota': {
      ...idle,
      teamParallelism: 1,
      teamBacklogMilliseconds: 2_000,
    },
  };
  for (const [name, question] of Object.entries(cases))
    t.snapshot(decideAdmission(question, 0), name);
});
