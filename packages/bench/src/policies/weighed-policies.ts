/** The choices of the policies that were weighed and not chosen. */
import type { RandomSource } from '@cranberryturn/random';

import { type ChooseTarget, type SimpleTarget } from './simple-policy.js';

/** Any target, however loaded. */
export const chooseRandomTarget: ChooseTarget = (targets, random) =>
  pick(targets, random);

/** The less loaded one of two, by load reports that lag. */
export const chooseOfTwoTargets: ChooseTarget = (targets, random) => {
  const first = pick(targets, random);
  const second = pick(targets, random);
  if (first === undefined || second === undefined) return first;
  return countFree(second) > countFree(first) ? second : first;
};

/** The target with the least work by load reports that lag; tasks wait at the targets. */
export const chooseLeastBacklog: ChooseTarget = (targets, random) =>
  mostOf(targets, random, countFree);

/** The target that granted the most credits. */
export const chooseMostCredits: ChooseTarget = (targets, random) => {
  const countCredits = (target: SimpleTarget): number =>
    target.credits - target.outstanding;
  const best = mostOf(targets, random, countCredits);
  return best !== undefined && countCredits(best) > 0 ? best : undefined;
};

/** The target with most free slots in a subset that no other dispatcher uses. */
export const chooseInSubset: ChooseTarget = (targets, random, surroundings) => {
  const { dispatchers, dispatcherId } = surroundings;
  const own = Number(dispatcherId.replace(/\D/g, ''));
  const subset = targets.filter(
    target => target.position % dispatchers === own % dispatchers,
  );
  const best = mostOf(subset, random, countFree);
  return best !== undefined && countFree(best) > 0 ? best : undefined;
};

function countFree(target: SimpleTarget): number {
  return target.record.slots - target.outstanding - target.othersBusy;
}

function pick(
  targets: readonly SimpleTarget[],
  random: RandomSource,
): SimpleTarget | undefined {
  return targets[random.below(targets.length)];
}

function mostOf(
  targets: readonly SimpleTarget[],
  random: RandomSource,
  measure: (target: SimpleTarget) => number,
): SimpleTarget | undefined {
  const first = random.below(Math.max(1, targets.length));
  let best: SimpleTarget | undefined;
  for (let step = 0; step < targets.length; step += 1) {
    const target = targets[(first + step) % targets.length];
    if (target === undefined) continue;
    if (best === undefined || measure(target) > measure(best)) best = target;
  }
  return best;
}
