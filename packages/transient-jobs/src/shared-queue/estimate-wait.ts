/** Estimates how long a request for capacity waits. */
import type { Milliseconds } from '@cranberryturn/types';

import { type BusyWorkers, estimateUntilFree } from '../estimate-until-free.js';

/** Part of the capacity that is assumed to be left to less urgent requests. */
const minimumLeftShare = 0.1;

/** What the wait of a request follows from. */
export interface WaitInput extends BusyWorkers {
  /** Processors of the workers that may be granted. */
  readonly processors: number;
  /** Rate of granted work that is more urgent, in processors: as much arrives while the request waits, and overtakes it. */
  readonly moreUrgentProcessors: number;
  /** Work that comes before the last task of the request and that task itself, in processor-milliseconds. */
  readonly workUntilLast: number;
}

/** Expected wait for the capacity of the last task. */
export function estimateWait({
  processors,
  moreUrgentProcessors,
  workUntilLast,
  ...busyWorkers
}: WaitInput): Milliseconds {
  if (processors <= 0) return maximumWaitMilliseconds;
  const left = Math.max(
    processors - moreUrgentProcessors,
    processors * minimumLeftShare,
  );
  return estimateUntilFree(busyWorkers) + workUntilLast / left;
}

/** Wait without any worker; far beyond every deadline. */
const maximumWaitMilliseconds: Milliseconds = 3_600_000;
