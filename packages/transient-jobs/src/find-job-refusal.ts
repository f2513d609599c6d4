/** Checks the admission of a job against the known workers. */
import type { Milliseconds } from '@cranberryturn/types';

import { canEverHold } from './choose-workers.js';
import { decideAdmission } from './decide-admission.js';
import { createRefusal } from './describe-end.js';
import type { KnownWorker } from './known-worker.js';
import type { Placement } from './task-placer.js';
import {
  type TransientJob,
  type TransientJobEnd,
  TransientJobEndKind,
} from './transient-job.js';

/** Returns the end of a refused job; undefined admits the job. `workers` are the workers of its service. */
export function findJobRefusal(
  job: TransientJob,
  criticalPathMilliseconds: Milliseconds,
  placement: Placement,
  workers: readonly KnownWorker[],
): TransientJobEnd | undefined {
  const { queue, steps, deadlineMilliseconds, heldMilliseconds } = job;
  const refusal = decideAdmission({
    queue,
    criticalPathMilliseconds,
    deadlineMilliseconds,
    heldMilliseconds,
    waitMilliseconds: placement.isComplete
      ? placement.longestWaitMilliseconds
      : undefined,
    canBeHeld: steps.every(step =>
      workers.some(known => canEverHold(known, step)),
    ),
    hasWorkers: workers.length > 0,
  });
  if (refusal === undefined) return undefined;
  const { reason, retryAfterMilliseconds } = refusal;
  return retryAfterMilliseconds === undefined
    ? { kind: TransientJobEndKind.Failed, reason }
    : createRefusal(reason, retryAfterMilliseconds);
}
