/** Checks the admission of a job against the known workers. */
import type { Milliseconds } from '@cranberryturn/types';

import { canEverHold } from './choose-workers.js';
import {
  type AdmissionRequest,
  decideAdmission,
  decideWithoutRoom,
  type JobRefusal,
} from './decide-admission.js';
import { createRefusal } from './describe-end.js';
import type { KnownWorker } from './known-worker.js';
import type {
  ScarcityAnswer,
  ScarcityControl,
} from './scarcity/scarcity-control.js';
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
  scarcity?: ScarcityControl,
): TransientJobEnd | undefined {
  const { queue, steps, deadlineMilliseconds, heldMilliseconds } = job;
  const request: AdmissionRequest = {
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
  };
  const refusal =
    scarcity === undefined
      ? decideAdmission(request)
      : decideUnderScarcity(scarcity, job, request, workers);
  if (refusal === undefined) return undefined;
  const { reason, retryAfterMilliseconds } = refusal;
  return retryAfterMilliseconds === undefined
    ? { kind: TransientJobEndKind.Failed, reason }
    : createRefusal(reason, retryAfterMilliseconds);
}

function decideUnderScarcity(
  scarcity: ScarcityControl,
  job: TransientJob,
  request: AdmissionRequest,
  workers: readonly KnownWorker[],
): JobRefusal | undefined {
  const withoutRoom = decideWithoutRoom(request);
  if (withoutRoom !== undefined) {
    scarcity.countWithoutWorker(job);
    return withoutRoom;
  }
  const { criticalPathMilliseconds, waitMilliseconds = 0 } = request;
  const startsAtOnce =
    waitMilliseconds <= 0 && decideAdmission(request) === undefined;
  const answer = scarcity.decide(
    { job, criticalPathMilliseconds, waitMilliseconds, startsAtOnce },
    workers,
  );
  if (answer.isAdmitted) return undefined;
  return {
    reason: describeRefusal(answer),
    retryAfterMilliseconds: answer.retryAfterMilliseconds,
  };
}

function describeRefusal({
  expectedMilliseconds,
  objectiveMilliseconds,
}: ScarcityAnswer): string {
  return `capacity is scarce: the job would end after ${expectedMilliseconds.toFixed(0)} ms, and is of use for ${objectiveMilliseconds.toFixed(0)} ms`;
}
