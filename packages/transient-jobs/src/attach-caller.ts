/** Attaches callers to a job in progress. */
import type { ActiveJob } from './active-job.js';
import type { SubmittedJob } from './transient-jobs-options.js';

/** Adds a caller to a job. `abandonJob` is called once all of its callers have disconnected. */
export function attachCaller(
  active: ActiveJob,
  abandonJob: () => void,
): SubmittedJob {
  active.callers += 1;
  let hasLeft = false;
  return {
    ended: active.ended,
    abandon: () => {
      if (hasLeft) return;
      hasLeft = true;
      active.callers -= 1;
      if (active.callers === 0) abandonJob();
    },
  };
}
