/** Refuses jobs by what is known of the workers. */
import type { Milliseconds } from '@cranberryturn/types';

import { canEverHold } from './choose-workers.js';
import { decideJob } from './decide-job.js';
import { refuse } from './describe-end.js';
import type { KnownWorker } from './known-worker.js';
import type { Placement } from './task-placer.js';
import {
  type TransientJob,
  type TransientJobEnd,
  TransientJobEndKind,
} from './transient-job.js';

/** How a job ends that is not to be started; undefined admits it. `workers` are those of its service. */
export function findJobRefusal(
  job: TransientJob,
  chainMilliseconds: Milliseconds,
  placement: Placement,
  workers: readonly KnownWorker[],
): TransientJobEnd | undefined {
  const { queue, steps, deadlineMilliseconds, heldMilliseconds } = job;
  const refusal = decideJob({
    queue,
    chainMilliseconds,
    deadlineMilliseconds,
    heldMilliseconds,
    waitMilliseconds: placement.isWhole ? placement.wait : undefined,
    isPossible: steps.every(step =>
      workers.some(known => canEverHold(known, step)),
    ),
    hasWorkers: workers.length > 0,
  });
  if (refusal === undefined) return undefined;
  const { reason, retryAfterMilliseconds } = refusal;
  return retryAfterMilliseconds === undefined
    ? { kind: TransientJobEndKind.Failed, reason }
    : refuse(reason, retryAfterMilliseconds);
}
