/** Estimates when the processors that a task lacks come free. */
import type { Milliseconds } from '@cranberryturn/types';

/** Load of the workers that the task may run on. */
export interface BusyWorkers {
  /** Free processors that the task still lacks; 0 or less where it has them. */
  readonly missingProcessors: number;
  readonly busyProcessors: number;
  /** Remaining work of the runs that use them, in processor-milliseconds. */
  readonly runningWork: number;
}

/** Assumes that active runs free their processors evenly over their remaining time. */
export function estimateUntilFree({
  missingProcessors,
  busyProcessors,
  runningWork,
}: BusyWorkers): Milliseconds {
  const busy = Math.max(1, busyProcessors);
  return (Math.max(0, missingProcessors) / busy) * (runningWork / busy);
}
