/** The job that a caller of a scenario submits. */
import type { JobRequest, Milliseconds } from '@cranberryturn/types';

import type { PlannedArrival } from './plan-arrivals.js';

/** Time that callers of all scenarios allow. */
export const deadlineMilliseconds: Milliseconds = 10_000;

/** The job that a caller submits on arrival. */
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
