/** Sums up the latest load reports of the workers of a service. */
import type { Milliseconds } from '@cranberryturn/types';

import { isWithdrawn, type KnownWorker } from '../known-worker.js';

/** Priorities that load reports name. */
export const reportedPriorities = 4;

/** The workers of a service, by their latest load reports. */
export interface ServiceState {
  /** Processors of the workers whose reports count, less those held back after an evacuation. */
  readonly processors: number;
  /** Work started over the last second by priority, in processors. */
  readonly startedWork: readonly number[];
  /** Number of workers whose reports count. */
  readonly workers: number;
  /** Number of workers left out: closed, evacuated, in backoff, or with a report that is too old. */
  readonly leftOut: number;
  /** Age of the oldest report that counts. */
  readonly ageMilliseconds: Milliseconds;
}

/** Sums up the load reports that are younger than `maximumAge`. */
export function summarizeService(
  workers: Iterable<KnownWorker>,
  maximumAge: Milliseconds,
  now: Milliseconds,
): ServiceState {
  const startedWork = new Array<number>(reportedPriorities).fill(0);
  let processors = 0;
  let counted = 0;
  let leftOut = 0;
  let ageMilliseconds = 0;
  for (const known of workers) {
    const { worker, load } = known;
    const age = now - known.lastHeardAt;
    const accepts =
      !load.closed && !isWithdrawn(known) && known.backoffUntil <= now;
    if (!accepts || age >= maximumAge) {
      leftOut += 1;
      continue;
    }
    counted += 1;
    processors += worker.capacity.processors - known.heldBackProcessors;
    ageMilliseconds = Math.max(ageMilliseconds, age);
    // The message checks let an optional field be null.
    addTo(startedWork, load.startedWork ?? []);
  }
  return {
    processors,
    startedWork,
    workers: counted,
    leftOut,
    ageMilliseconds,
  };
}

function addTo(sums: number[], values: readonly number[]): void {
  for (let index = 0; index < sums.length; index += 1) {
    sums[index] = (sums[index] ?? 0) + (values[index] ?? 0);
  }
}

/** Part of the capacity that work more urgent than `priority` takes, from 0 to `maximumUrgentShare`. */
export function computeUrgentShare(
  { processors, startedWork }: ServiceState,
  priority: number,
): number {
  if (processors <= 0) return 0;
  const urgent = startedWork
    .slice(0, Math.min(priority, reportedPriorities - 1))
    .reduce((sum, rate) => sum + rate, 0);
  return Math.min(maximumUrgentShare, urgent / processors);
}

/** Bound of the urgent share, so that an expected wait stays finite. */
const maximumUrgentShare = 0.9;
