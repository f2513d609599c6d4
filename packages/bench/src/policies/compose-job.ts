/** Composes the job requests of simulated callers. */
import type { JobRequest, Milliseconds } from '@cranberryturn/types';

import type { PlannedArrival } from './plan-arrivals.js';

/** Deadline of every job, in all scenarios. */
export const deadlineMilliseconds: Milliseconds = 10_000;

/** Composes the request for a planned arrival. */
export function composeJob(arrival: PlannedArrival): JobRequest {
  const { jobId, team, idempotent, declared } = arrival;
  return {
    jobId,
    service: 'register',
    team,
    tasks: declared.map((one, position) => ({
      taskId: `task-${String(position)}`,
      payload: '1',
      declared: one,
    })),
    idempotent,
    deadlineMilliseconds,
  };
}
