/** Composes what the in-memory worker replies to a renewal. */
import type { Milliseconds } from '@cranberryturn/types';

import type { WorkerStatus } from '../ports/worker.js';
import type { FakeWorker } from './fake-worker-state.js';

/** Lists the active runs, and the ends that were not acknowledged. `now` is the time of the test. */
export function composeStatus(
  worker: FakeWorker,
  clock: Milliseconds,
  now: Milliseconds,
): WorkerStatus {
  const { hasUnreadableLists, activeRuns, acknowledgedSequence } = worker;
  const listed = hasUnreadableLists ? [] : [...activeRuns.values()];
  return {
    clock,
    isPartial: hasUnreadableLists,
    running: listed.map(({ jobId, taskId, run, startedAt, endsAt }) => ({
      jobId,
      taskId,
      run,
      progress: roundProgress(now - startedAt, endsAt - startedAt),
    })),
    ended: worker.ended.filter(end => end.sequence > acknowledgedSequence),
  };
}

/** Workers report progress in hundredths. */
function roundProgress(elapsed: Milliseconds, whole: Milliseconds): number {
  return Math.floor((elapsed / whole) * 100) / 100;
}
