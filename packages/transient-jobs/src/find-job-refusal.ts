/** Checks the admission of a job against the known workers. */
import type { ActiveJob } from './active-job.js';
import { couldEverHold } from './choose-workers.js';
import {
  type AdmissionRequest,
  decideAdmission,
  decideWithoutRoom,
  type JobRefusal,
} from './decide-admission.js';
import { createRefusal } from './describe-end.js';
import type { KnownWorker } from './known-worker.js';
import { ScarcityRule } from './scarcity/decide-scarcity.js';
import type { ScarcityAnswer } from './scarcity/report-answer.js';
import {
  leftOverPriority,
  type ScarcityControl,
} from './scarcity/scarcity-control.js';
import type { Placement } from './task-placer.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

/** The part of a placement that decides on admission. */
export type ExpectedPlacement = Partial<Placement> &
  Pick<Placement, 'isComplete' | 'longestWaitMilliseconds'>;

/** A job to admit, its expected run time and the priority of its orders. */
type AdmittedJob = Pick<
  ActiveJob,
  'job' | 'criticalPathMilliseconds' | 'priority'
>;

/**
 * Returns the end of a refused job; undefined admits the job. `workers` are the workers of its service. Lowers the
 * priority of a job that is admitted to left-over capacity only. `confinedHosts` is the number of hosts that its queue
 * is confined to after crashes; undefined when it is not.
 */
export function findJobRefusal(
  active: AdmittedJob,
  placement: ExpectedPlacement,
  workers: readonly KnownWorker[],
  scarcity?: ScarcityControl,
  confinedHosts?: number,
): TransientJobEnd | undefined {
  const { job, criticalPathMilliseconds } = active;
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
      workers.some(known => couldEverHold(known, step)),
    ),
    hasWorkers: workers.length > 0,
    confinedHosts,
  };
  const refusal =
    scarcity === undefined
      ? decideAdmission(request)
      : decideUnderScarcity(scarcity, active, request, workers);
  if (refusal === undefined) return undefined;
  const { reason, retryAfterMilliseconds } = refusal;
  return retryAfterMilliseconds === undefined
    ? { kind: TransientJobEndKind.Failed, reason }
    : createRefusal(reason, retryAfterMilliseconds);
}

function decideUnderScarcity(
  scarcity: ScarcityControl,
  active: AdmittedJob,
  request: AdmissionRequest,
  workers: readonly KnownWorker[],
): JobRefusal | undefined {
  const { job } = active;
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
  if (answer.rule === ScarcityRule.LeftOver) active.priority = leftOverPriority;
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
