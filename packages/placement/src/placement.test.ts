import { createRandomSource } from '@cranberryturn/random';
import test from 'ava';
import fastCheck from 'fast-check';

import { computeEjectionThreshold, HealthTracker } from './health-tracker.js';
import { createRunTimeModel } from './run-time-model.js';
import {
  countFreeSlots,
  createTargetEntry,
  HealthPhase,
  recordLoad,
  type TargetEntry,
} from './target-entry.js';
import { TargetIndex } from './target-index.js';

const seed = 20_261_203;
const slots = 8;
const idle = { freeSlots: slots, queuedTasks: 0, draining: false };
const anyTask = {
  expectedUsage: undefined,
  excludedTargets: [],
  tasksPerRack: undefined,
  isRepeatable: false,
  registeredUpTo: undefined,
};

function createEntry(number: number, tier = 0): TargetEntry {
  const record = {
    targetId: `worker-${String(number)}`,
    incarnation: 'run-1',
    service: 'register',
    host: `host-${String(number)}`,
    rack: `rack-${String(number % 3)}`,
    dataCentre: 'hoan-kiem',
    resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
    slots,
    connections: 64,
    registeredAt: number,
  };
  return createTargetEntry(record, idle, tier, 0);
}

function createTracker(targets: number) {
  const changes: string[] = [];
  const tracker = new HealthTracker((entry, action) =>
    changes.push(`${entry.record.targetId} ${action}`),
  );
  const entries = Array.from({ length: targets }, (_, at) => createEntry(at));
  for (let added = 0; added < targets; added += 1) tracker.addTarget();
  return { tracker, entries, changes };
}

test(`the index chooses the same targets as a full scan (seed ${String(seed)})`, t => {
  const change = fastCheck.record({
    target: fastCheck.nat(5),
    outstanding: fastCheck.nat(slots),
    draining: fastCheck.boolean(),
  });
  const agrees = fastCheck.property(
    fastCheck.array(change, { maxLength: 60 }),
    changes => {
      const index = new TargetIndex(createRandomSource(seed));
      const entries = Array.from({ length: 6 }, (_, at) =>
        createEntry(at, at % 2),
      );
      for (const entry of entries) index.add(entry, 0);
      for (const { target, outstanding, draining } of changes) {
        const entry = entries[target];
        if (entry === undefined) return false;
        entry.outstandingAttempts = outstanding;
        entry.draining = draining;
        index.update(entry, 0);
        if (!isBestChoice(index.chooseTarget(anyTask), entries)) return false;
      }
      return true;
    },
  );
  t.notThrows(() => {
    fastCheck.assert(agrees, { seed });
  });
});

function isBestChoice(
  chosen: TargetEntry | undefined,
  entries: readonly TargetEntry[],
): boolean {
  const free = entries.filter(entry => countFreeSlots(entry) > 0);
  const tier = Math.min(...free.map(entry => entry.tier));
  const near = free.filter(entry => entry.tier === tier);
  const most = Math.max(...near.map(countFreeSlots));
  if (chosen === undefined) return free.length === 0;
  return chosen.tier === tier && countFreeSlots(chosen) === most;
}

test('attempts that a load report does not count yet are not counted as slots of other dispatchers', t => {
  const entry = createEntry(1);
  entry.outstandingAttempts = 5;
  const load = { freeSlots: 2, queuedTasks: 0, draining: false };
  recordLoad(entry, load, 2, 10);
  t.is(entry.slotsOfOthers, 3);
  t.is(countFreeSlots(entry), 0);
});

test('a slow target is ejected, and the next ejection lasts twice as long', t => {
  const { tracker, entries, changes } = createTracker(4);
  const [slow] = entries;
  if (slow === undefined) return t.fail();
  for (let task = 0; task < 8; task += 1) tracker.recordSuccess(slow, 10, 100);
  t.is(slow.health.phase, HealthPhase.Ejected);
  t.is(slow.health.ejectedUntil, 1_100);
  t.deepEqual(tracker.beginProbes(1_099), []);
  t.deepEqual(tracker.beginProbes(1_100), [slow]);
  tracker.recordFailure(slow, 1_200);
  t.is(slow.health.ejectedUntil, 3_200);
  tracker.beginProbes(3_200);
  tracker.recordSuccess(slow, 1, 3_300);
  t.is(slow.health.maximumAttempts, 2);
  for (let task = 0; task < 6; task += 1) tracker.recordSuccess(slow, 1, 3_400);
  t.snapshot(changes);
});

test('a slow probe ejects the target again at once', t => {
  const { tracker, entries } = createTracker(4);
  const [slow] = entries;
  if (slow === undefined) return t.fail();
  for (let task = 0; task < 8; task += 1) tracker.recordSuccess(slow, 10, 0);
  tracker.beginProbes(1_000);
  tracker.recordSuccess(slow, 10, 1_100);
  t.is(slow.health.phase, HealthPhase.Ejected);
});

test('each ejection of a flapping target lasts longer, up to a minute', t => {
  const { tracker, entries } = createTracker(4);
  const [flapping] = entries;
  if (flapping === undefined) return t.fail();
  const durations: number[] = [];
  let now = 0;
  for (let round = 0; round < 8; round += 1) {
    while (phaseOf(flapping) !== HealthPhase.Ejected)
      tracker.recordFailure(flapping, now);
    durations.push(flapping.health.ejectedUntil - now);
    now = flapping.health.ejectedUntil;
    tracker.beginProbes(now);
    for (let task = 0; task < slots; task += 1)
      tracker.recordSuccess(flapping, 1, now);
    t.is(phaseOf(flapping), HealthPhase.Healthy);
  }
  t.deepEqual(
    durations,
    [1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000],
  );
});

function phaseOf({ health }: TargetEntry): HealthPhase {
  return health.phase;
}

test('failures on all targets eject at most the maximum fraction of them', t => {
  t.is(computeEjectionThreshold(0), 3);
  t.is(computeEjectionThreshold(0.1), 3);
  t.is(computeEjectionThreshold(0.5), 10);
  t.is(computeEjectionThreshold(1), 12);
  const { tracker, entries } = createTracker(10);
  for (let round = 0; round < 50; round += 1)
    for (const entry of entries) tracker.recordFailure(entry, round);
  t.true(tracker.ejectedCount <= 3);
  t.true(
    entries.filter(entry => entry.health.maximumAttempts >= 1).length >= 7,
  );
});

test('learned run times beat declarations that are ten times off, either way', t => {
  const model = createRunTimeModel();
  t.is(model.estimate(5_000), 5_000);
  for (let task = 0; task < 200; task += 1) {
    model.record(500, 5_000);
    model.record(90, 9);
  }
  t.is(Math.round(model.estimate(5_000)), 500);
  t.is(Math.round(model.estimate(9)), 90);
  const tail = model.findPercentile(99) ?? 0;
  t.true(tail >= 495 && tail <= 510, String(tail));
});
