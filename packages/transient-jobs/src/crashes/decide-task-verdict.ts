/** Decides what happens to a task under which workers have crashed. */
import type { RecordedCrash } from './crash-ledger.js';

/** What happens to a task. */
export enum TaskVerdict {
  /** It runs beside others. */
  Sound = 'sound',
  /** It runs with no task of another job at the worker, so that another crash shows whether its job is the cause. */
  Isolated = 'isolated',
  GivenUp = 'given-up',
}

const crashesBeforeIsolation = 2;
/** Crashes after which a task is given up if only its job had active runs at one of them. */
const provenCrashes = 2;
/** Crashes after which a task is given up whatever ran beside it. */
const maximumCrashes = 3;

/** Decides on a task; `isConfined` tells whether its queue is confined after crashes. */
export function decideTaskVerdict(
  crashes: readonly RecordedCrash[],
  isConfined: boolean,
): TaskVerdict {
  if (crashes.length === 0) return TaskVerdict.Sound;
  if (crashes.length >= maximumCrashes) return TaskVerdict.GivenUp;
  if (crashes.length >= provenCrashes && crashes.some(isOfOneJob))
    return TaskVerdict.GivenUp;
  return isConfined || crashes.length >= crashesBeforeIsolation
    ? TaskVerdict.Isolated
    : TaskVerdict.Sound;
}

function isOfOneJob({ crash }: RecordedCrash): boolean {
  return new Set(crash.runs.map(({ jobId }) => jobId)).size === 1;
}
