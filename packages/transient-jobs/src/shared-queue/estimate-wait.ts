/** Estimates how long a request for capacity waits. */
import type { Milliseconds } from '@cranberryturn/types';

/** Part of the capacity that is assumed to be left to less urgent requests. */
const minimumLeftShare = 0.1;

/** What the wait of a request follows from. */
export interface WaitInput {
  /** Processors of the workers that may be granted. */
  readonly processors: number;
  /** Rate of granted work that is more urgent, in processors: as much arrives while the request waits, and overtakes it. */
  readonly moreUrgentProcessors: number;
  /** Free processors that the first task still lacks; 0 or less where it has them. */
  readonly missingProcessors: number;
  /** Processors in use, and the remaining work of the runs that use them, in processor-milliseconds. */
  readonly busyProcessors: number;
  readonly runningWork: number;
  /** Work that comes before the last task of the request and that task itself, in processor-milliseconds. */
  readonly workUntilLast: number;
}

/** Expected wait for the capacity of the last task. */
export function estimateWait({
  processors,
  moreUrgentProcessors,
  missingProcessors,
  busyProcessors,
  runningWork,
  workUntilLast,
}: WaitInput): Milliseconds {
  if (processors <= 0) return maximumWaitMilliseconds;
  const left = Math.max(
    processors - moreUrgentProcessors,
    processors * minimumLeftShare,
  );
  const busy = Math.max(1, busyProcessors);
  // Assumes that active runs free their processors evenly over their remaining time.
  const untilFree =
    (Math.max(0, missingProcessors) / busy) * (runningWork / busy);
  return untilFree + workUntilLast / left;
}

/** Wait without any worker; far beyond every deadline. */
const maximumWaitMilliseconds: Milliseconds = 3_600_000;
