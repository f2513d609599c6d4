/**
 * Admission control. Under overload, a job that cannot end in time is refused before any of its tasks
 * starts, so that the workers serve jobs that can.
 */
import type { Milliseconds, QueueConfiguration } from '@cranberryturn/types';

/**
 * A job that has to wait is admitted only if its expected end is within this multiple of the response
 * time objective. Later jobs would delay those queued behind them beyond the objective as well.
 */
export const latestEndFactor = 1;

/** Multiple of the response time objective after which a result has no value for the caller. */
const latestUsefulFactor = 3;

const noWorkerRetryMilliseconds: Milliseconds = 1_000;
/** A crashed worker is back after some seconds. */
const crashedWorkerRetryMilliseconds: Milliseconds = 3_000;
const minimumRetryMilliseconds: Milliseconds = 200;
const maximumRetryMilliseconds: Milliseconds = 30_000;

/** A job and the state of the workers that its admission depends on. */
export interface AdmissionRequest {
  readonly queue: QueueConfiguration;
  /** Expected run time of the longest dependent chain of steps. */
  readonly criticalPathMilliseconds: Milliseconds;
  /** Longest wait of a task that may start now; undefined when some of these tasks cannot be placed now. */
  readonly waitMilliseconds: Milliseconds | undefined;
  /** Time that the caller has waited already. */
  readonly heldMilliseconds: Milliseconds;
  /** Total time that the caller waits. */
  readonly deadlineMilliseconds: Milliseconds;
  /** Whether each step has a known worker with sufficient total capacity. */
  readonly canBeHeld: boolean;
  /** Whether any worker of the service is known. */
  readonly hasWorkers: boolean;
  /** Number of hosts that the queue is confined to after crashes of workers; undefined when it is not confined. */
  readonly confinedHosts?: number | undefined;
}

/** Why a job is refused. */
export interface JobRefusal {
  readonly reason: string;
  /** When the caller should retry; undefined when a retry would be refused as well. */
  readonly retryAfterMilliseconds: Milliseconds | undefined;
}

/** Response time objective of a job, in milliseconds. */
export function computeObjective(
  queue: QueueConfiguration,
  criticalPathMilliseconds: Milliseconds,
): Milliseconds {
  return (
    queue.slackFactor * criticalPathMilliseconds +
    queue.targetLatencyMilliseconds
  );
}

/** Longest wait with which a job that has been held for some time still ends early enough to be admitted. */
export function computeMaximumWait({
  queue,
  criticalPathMilliseconds,
  heldMilliseconds,
  deadlineMilliseconds,
}: Pick<
  AdmissionRequest,
  | 'queue'
  | 'criticalPathMilliseconds'
  | 'heldMilliseconds'
  | 'deadlineMilliseconds'
>): Milliseconds {
  const objective = computeObjective(queue, criticalPathMilliseconds);
  const latestEnd = computeLatestEnd(objective, deadlineMilliseconds);
  return Math.max(0, latestEnd - heldMilliseconds - criticalPathMilliseconds);
}

/** When the result of an admitted job has no value for the caller any more. */
export function computeUsefulEnd({
  admittedAt,
  dueAt,
  deadlineAt,
  heldMilliseconds,
}: {
  readonly admittedAt: Milliseconds;
  readonly dueAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly heldMilliseconds: Milliseconds;
}): Milliseconds {
  const arrivedAt = admittedAt - heldMilliseconds;
  return Math.min(
    deadlineAt,
    arrivedAt + (dueAt - arrivedAt) * latestUsefulFactor,
  );
}

/** Returns why a job is refused that no worker can take now; undefined when its tasks can be placed. */
export function decideWithoutRoom({
  queue,
  waitMilliseconds,
  hasWorkers,
  canBeHeld,
  confinedHosts,
}: AdmissionRequest): JobRefusal | undefined {
  if (!hasWorkers) {
    return {
      reason: `no worker of service "${queue.service}" is known`,
      retryAfterMilliseconds: noWorkerRetryMilliseconds,
    };
  }
  if (!canBeHeld) {
    return {
      reason: `no worker of service "${queue.service}" can ever hold a task of the job`,
      retryAfterMilliseconds: undefined,
    };
  }
  if (waitMilliseconds === undefined && confinedHosts !== undefined) {
    return {
      reason: `tasks of queue "${queue.queue}" crash workers, and none of the ${String(confinedHosts)} workers left to it takes tasks at present`,
      retryAfterMilliseconds: crashedWorkerRetryMilliseconds,
    };
  }
  if (waitMilliseconds === undefined) {
    return {
      reason: `no worker of service "${queue.service}" takes tasks at present`,
      retryAfterMilliseconds: noWorkerRetryMilliseconds,
    };
  }
  return undefined;
}

/** Returns why a job is refused; undefined admits the job. */
export function decideAdmission(
  request: AdmissionRequest,
): JobRefusal | undefined {
  const { queue, deadlineMilliseconds, heldMilliseconds } = request;
  const withoutRoom = decideWithoutRoom(request);
  if (withoutRoom !== undefined) return withoutRoom;
  const waitMilliseconds = request.waitMilliseconds ?? 0;
  const objectiveMilliseconds = computeObjective(
    queue,
    request.criticalPathMilliseconds,
  );
  const usefulMilliseconds = computeLatestEnd(
    objectiveMilliseconds,
    deadlineMilliseconds,
  );
  const expectedMilliseconds =
    heldMilliseconds + waitMilliseconds + request.criticalPathMilliseconds;
  if (expectedMilliseconds <= usefulMilliseconds) return undefined;
  // A job that can start at once is admitted whatever run times it declares, unless it was held for too long.
  const isTooLate =
    heldMilliseconds > 0 &&
    expectedMilliseconds > objectiveMilliseconds * latestUsefulFactor;
  if (waitMilliseconds <= 0 && !isTooLate) return undefined;
  const overrunMilliseconds = expectedMilliseconds - usefulMilliseconds;
  return {
    reason: `the job would end after ${expectedMilliseconds.toFixed(0)} ms, and is of use for ${usefulMilliseconds.toFixed(0)} ms`,
    retryAfterMilliseconds: Math.min(
      maximumRetryMilliseconds,
      Math.max(minimumRetryMilliseconds, overrunMilliseconds),
    ),
  };
}

/** Response time up to which a job that has to wait is admitted. */
function computeLatestEnd(
  objectiveMilliseconds: Milliseconds,
  deadlineMilliseconds: Milliseconds,
): Milliseconds {
  return Math.min(
    deadlineMilliseconds,
    objectiveMilliseconds * latestEndFactor,
  );
}
