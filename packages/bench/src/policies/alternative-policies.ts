/** The choices of the policies that were weighed and not chosen. */
import type { RandomSource } from '@cranberryturn/random';

import { type ChooseTarget, type SimpleTarget } from './simple-policy.js';

/** Any target, however loaded. */
export const chooseRandomTarget: ChooseTarget = (targets, random) =>
  pickRandom(targets, random);

/** The less loaded one of two, by load reports that lag. */
export const choosePowerOfTwo: ChooseTarget = (targets, random) => {
  const first = pickRandom(targets, random);
  const second = pickRandom(targets, random);
  if (first === undefined || second === undefined) return first;
  return countFreeSlots(second) > countFreeSlots(first) ? second : first;
};

/** The target with the least work by load reports that lag; tasks wait at the targets. */
export const chooseLeastBacklog: ChooseTarget = (targets, random) =>
  findMaximum(targets, random, countFreeSlots);

/** The target that granted the most credits. */
export const chooseMostCredits: ChooseTarget = (targets, random) => {
  const countCredits = (target: SimpleTarget): number =>
    target.credits - target.outstanding;
  const best = findMaximum(targets, random, countCredits);
  return best !== undefined && countCredits(best) > 0 ? best : undefined;
};

/** The target with most free slots in a subset that no other dispatcher uses. */
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
