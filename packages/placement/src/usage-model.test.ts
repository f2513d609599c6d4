import { createRandomSource } from '@cranberryturn/random';
import test from 'ava';

import { createUsageModel } from './usage-model.js';

const capacity = { processors: 64, memoryMebibytes: 131_072 };
const seed = 20_261_203;
/** Actual usage of a kind of task, and the usage that its caller declares. */
const kinds = [
  {
    used: { processors: 4, memoryMebibytes: 8_000 },
    declared: { processors: 40, memoryMebibytes: 800 },
  },
  {
    used: { processors: 12, memoryMebibytes: 500 },
    declared: { processors: 1.2, memoryMebibytes: 5_000 },
  },
  { used: { processors: 1, memoryMebibytes: 2_000 }, declared: undefined },
];

test(`usage is estimated from sums over mixed tasks with declarations ten times too high or too low (seed ${String(seed)})`, t => {
  t.log(seed);
  const random = createRandomSource(seed);
  const model = createUsageModel();
  t.is(model.estimate(kinds[0]?.declared)?.processors, 40);
  t.is(model.estimate(undefined), undefined);
  const draw = () => kinds[random.below(kinds.length)];
  for (let reading = 0; reading < 2_000; reading += 1) {
    const ran = Array.from({ length: 1 + random.below(8) }, draw).flatMap(
      kind => (kind === undefined ? [] : [kind]),
    );
    const sum = (resource: 'processors' | 'memoryMebibytes') =>
      ran.reduce((total, kind) => total + kind.used[resource], 0);
    model.record({
      used: {
        processors: sum('processors'),
        memoryMebibytes: sum('memoryMebibytes'),
      },
      capacity,
      tasks: ran.map(kind => kind.declared),
      tasksOfOthers: 0,
    });
  }
  for (const { used, declared } of kinds) {
    const learned = model.estimate(declared);
    for (const resource of ['processors', 'memoryMebibytes'] as const) {
      const ratio = (learned?.[resource] ?? 0) / used[resource];
      t.true(ratio > 0.9 && ratio < 1.1, `${resource} ${String(ratio)}`);
    }
  }
});

test('tasks of other dispatchers count like own tasks, and no estimate exceeds the capacity of the worker', t => {
  const model = createUsageModel();
  const declared = { processors: 1 };
  const record = (processors: number, tasksOfOthers: number) => {
    model.record({
      used: { processors, memoryMebibytes: 0 },
      capacity,
      tasks: [declared, declared],
      tasksOfOthers,
    });
  };
  for (let reading = 0; reading < 300; reading += 1) record(48, 6);
  t.is(Math.round(model.estimate(declared)?.processors ?? 0), 6);
  for (let reading = 0; reading < 300; reading += 1) record(1_000, 0);
  t.is(model.estimate(declared)?.processors, capacity.processors);
});
