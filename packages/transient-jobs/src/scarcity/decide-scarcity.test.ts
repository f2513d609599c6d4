/** The decision table of admission under scarcity. */
import test from 'ava';

import { decideScarcity, type ScarcityRequest } from './decide-scarcity.js';
import { drawFromHash } from './hash-draw.js';
import { defaultScarcitySettings } from './scarcity-settings.js';

const objectiveMilliseconds = 1_000;

const request: ScarcityRequest = {
  startsAtOnce: false,
  expectedMilliseconds: 900,
  leftOverMilliseconds: 2_900,
  objectiveMilliseconds,
  deadlineMilliseconds: 3_000,
  draw: 0.3,
  isWide: false,
  hasReturned: false,
  isScarce: true,
  shares: { share: 0.8, wideShare: 0.8 },
  bestShare: 1,
  priority: 1,
};

const late = { expectedMilliseconds: 1_200 };
const starved = { shares: { share: 0.3, wideShare: 0.3 } };
const wide = { isWide: true, shares: { share: 0.8, wideShare: 0.1 } };

const cases: Readonly<Record<string, Partial<ScarcityRequest>>> = {
  'ends in time': {},
  'ends in time, its queue is starved': starved,
  'ends after its deadline': { deadlineMilliseconds: 800 },
  'starts at once with a run time beyond the objective': {
    ...late,
    startsAtOnce: true,
  },
  late,
  'late, low draw': { ...late, draw: 0.01 },
  'late, its queue is starved': { ...late, ...starved },
  'late, its queue is starved, high draw': { ...late, ...starved, draw: 0.6 },
  'late, its queue is starved as all are': {
    ...late,
    ...starved,
    bestShare: 0.3,
  },
  'too late for the floor, its queue is starved': {
    ...starved,
    expectedMilliseconds: 2_100,
  },
  'late, its queue is starved, no scarcity': {
    ...late,
    ...starved,
    isScarce: false,
  },
  'late and wide, wide jobs are starved': { ...late, ...wide },
  'late and wide, wide jobs are starved, high draw': {
    ...late,
    ...wide,
    draw: 0.6,
  },
  'late and narrow, wide jobs are starved': { ...late, ...wide, isWide: false },
  'late, and of use with left-over capacity': {
    ...late,
    leftOverMilliseconds: 2_400,
  },
  'late, of use with left-over capacity only after its deadline': {
    ...late,
    leftOverMilliseconds: 2_400,
    deadlineMilliseconds: 2_000,
  },
  'late, its caller returns': {
    expectedMilliseconds: 1_080,
    hasReturned: true,
  },
  'far too late, its caller returns': {
    expectedMilliseconds: 1_300,
    hasReturned: true,
  },
};

test('the decision table', t => {
  const table = Object.entries(cases).map(([name, changes]) => {
    const decision = decideScarcity(
      { ...request, ...changes },
      defaultScarcitySettings,
    );
    const { rule, floor, retryAfterMilliseconds } = decision;
    return `${name}: ${rule}, floor ${String(floor)}, retry after ${String(retryAfterMilliseconds)} ms`;
  });
  t.snapshot(table);
});

test('callers of one moment return spread out, those of urgent queues within a shorter time', t => {
  const spread = (priority: number): number => {
    const times = Array.from({ length: 200 }, (_, number) =>
      decideScarcity(
        {
          ...request,
          ...late,
          priority,
          draw: drawFromHash(`job-${String(number)}`),
        },
        defaultScarcitySettings,
      ),
    ).map(one => one.retryAfterMilliseconds);
    return Math.max(...times) - Math.min(...times);
  };
  t.true(spread(0) > 900);
  t.true(spread(2) > 2.5 * spread(0));
});

test('draws depend on the identifier only and are spread evenly, also for identifiers that follow one another', t => {
  const draws = Array.from({ length: 4_000 }, (_, number) =>
    drawFromHash(number.toString(16).padStart(16, '0')),
  );
  for (const part of [0.1, 0.5, 0.9]) {
    const below = draws.filter(draw => draw < part).length / draws.length;
    t.true(Math.abs(below - part) < 0.03, `${String(below)} below`);
  }
  t.is(drawFromHash('0000000000000001'), drawFromHash('0000000000000001'));
});
