/** How the alternatives to the product's policy choose targets. */
import type { RandomSource } from '@cranberryturn/random';

import { type ChooseTarget, type SimpleTarget } from './simple-policy.js';

/** Chooses a target uniformly at random, regardless of load. */
export const chooseRandomTarget: ChooseTarget = (targets, random) =>
  pickRandom(targets, random);

/** Chooses the less loaded of two random targets, by load reports that may be stale. */
export const choosePowerOfTwo: ChooseTarget = (targets, random) => {
  const first = pickRandom(targets, random);
  const second = pickRandom(targets, random);
  if (first === undefined || second === undefined) return first;
  return countFreeSlots(second) > countFreeSlots(first) ? second : first;
};

/** Chooses the target with the most free slots by load reports that may be stale; tasks queue at the targets. */
export const chooseLeastBacklog: ChooseTarget = (targets, random) =>
  findMaximum(targets, random, countFreeSlots);

/** Chooses the target with the most unused credits; undefined if none is left. */
export const chooseMostCredits: ChooseTarget = (targets, random) => {
  const countCredits = (target: SimpleTarget): number =>
    target.credits - target.outstanding;
  const best = findMaximum(targets, random, countCredits);
  return best !== undefined && countCredits(best) > 0 ? best : undefined;
};

/** Chooses the target with the most free slots in a subset that no other dispatcher uses; undefined if none is free. */
export const chooseWithinSubset: ChooseTarget = (
  targets,
  random,
  environment,
) => {
  const { dispatchers, dispatcherId } = environment;
  const own = Number(dispatcherId.replace(/\D/g, ''));
  const subset = targets.filter(
    target => target.position % dispatchers === own % dispatchers,
  );
  const best = findMaximum(subset, random, countFreeSlots);
  return best !== undefined && countFreeSlots(best) > 0 ? best : undefined;
};

function countFreeSlots(target: SimpleTarget): number {
  return target.record.slots - target.outstanding - target.otherTasks;
}

function pickRandom(
  targets: readonly SimpleTarget[],
  random: RandomSource,
): SimpleTarget | undefined {
  return targets[random.below(targets.length)];
}

/** The target with the highest score; ties go to the first one after a random position. */
function findMaximum(
  targets: readonly SimpleTarget[],
  random: RandomSource,
  score: (target: SimpleTarget) => number,
): SimpleTarget | undefined {
  const first = random.below(Math.max(1, targets.length));
  let best: SimpleTarget | undefined;
  for (let step = 0; step < targets.length; step += 1) {
    const target = targets[(first + step) % targets.length];
    if (target === undefined) continue;
    if (best === undefined || score(target) > score(best)) best = target;
  }
  return best;
}
