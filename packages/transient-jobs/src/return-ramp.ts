/**
 * The gradual return of workers after an evacuation. They may be cold, and all dispatchers find them idle
 * at the same time, so they get a part of their capacity at first, and their speed is learned anew.
 */
import type { Milliseconds } from '@cranberryturn/types';

const initialCapacityShare = 0.25;
const rampMilliseconds: Milliseconds = 3_000;
/** Number of first ends from which the speed is learned quickly. */
export const quickSamples = 5;
const quickSampleWeight = 0.5;
const speedSampleWeight = 0.15;

/** Processors of a worker that are not used yet; 0 once the worker has returned in full. */
export function computeHeldBackProcessors(
  processors: number,
  sinceReturnMilliseconds: Milliseconds,
): number {
  const progress = Math.min(1, sinceReturnMilliseconds / rampMilliseconds);
  return processors * (1 - initialCapacityShare) * (1 - progress);
}

/** Weight of the next sample of the speed, where `remainingQuickSamples` are still learned quickly. */
export function chooseSpeedWeight(remainingQuickSamples: number): number {
  return remainingQuickSamples > 0 ? quickSampleWeight : speedSampleWeight;
}
