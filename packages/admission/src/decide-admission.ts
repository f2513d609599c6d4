/** Decides, before the claim, whether a job is admitted. */
import type { Milliseconds, ServiceName, TeamName } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import { type JobRefusal, RefusalKind } from './job-refusal.js';

/** The job and the load by which its admission is decided. */
export interface AdmissionInput {
  readonly service: ServiceName;
  readonly team: TeamName;
  /** Number of tasks of the job. */
  readonly tasks: number;
  readonly deadlineMilliseconds: Milliseconds;
  /** Expected run time of all tasks of the job together. */
  readonly workMilliseconds: Milliseconds;
  /** Low percentile of the run times of the service; 0 while unknown. */
  readonly minimumRunMilliseconds: Milliseconds;
  /** Number of targets of the service. */
  readonly targets: number;
  /** Description of the resource that no worker has enough of; undefined when some worker can hold each task. */
  readonly missingResource: string | undefined;
  readonly queueLimit: number;
  readonly queuedTasks: number;
  readonly freeSlots: number;
  /** Expected run time of all waiting tasks of the service in this dispatcher. */
  readonly backlogMilliseconds: Milliseconds;
  /** Number of tasks that this dispatcher can expect to run concurrently. */
  readonly parallelism: number;
  readonly teamQueuedTasks: number;
  readonly teamBacklogMilliseconds: Milliseconds;
  /** Number of tasks that the quota allows the team to run concurrently; may be infinite. */
  readonly teamParallelism: number;
  /** Part of the capacity that the team gets under contention, from 0 to 1. */
  readonly teamFairShare: number;
}

const noTargetRetryAfterMilliseconds: Milliseconds = 1_000;
const noShareRetryAfterMilliseconds: Milliseconds = 1_000;
const minimumRetryAfterMilliseconds: Milliseconds = 100;
const maximumRetryAfterMilliseconds: Milliseconds = 60_000;
/** Fraction of the queue limit above which only jobs of teams within their fair share are admitted. */
const contendedQueueFraction = 0.75;
/** Factor on the expected wait, because run times and the share of the slots vary. */
const waitSafetyFactor = 1.5;

/** Admits or refuses a job. `jitter`, from 0 to 1, lengthens the time to retry by up to a quarter. */
export function decideAdmission(
  input: AdmissionInput,
  jitter: number,
): Result<void, JobRefusal> {
  const { service } = input;
  if (input.targets === 0) {
    return refuse(
      RefusalKind.NoTarget,
      `No target of service "${service}" is connected; try again later.`,
      addJitter(noTargetRetryAfterMilliseconds, jitter),
    );
  }
  if (input.missingResource !== undefined) {
    return refuse(
      RefusalKind.Impossible,
      `No worker of service "${service}" can hold a task that needs ${input.missingResource}; ask for less.`,
      undefined,
    );
  }
  const queueRefusal = findQueueRefusal(input, jitter);
  if (queueRefusal !== undefined) return err(queueRefusal);
  const timeRefusal = findQuotaOrDeadlineRefusal(input, jitter);
  return timeRefusal === undefined ? ok(undefined) : err(timeRefusal);
}

function findQueueRefusal(
  input: AdmissionInput,
  jitter: number,
): JobRefusal | undefined {
  const { queueLimit, service, team } = input;
  const waitingTasks = input.queuedTasks + input.tasks - input.freeSlots;
  const meanRunMilliseconds = input.workMilliseconds / input.tasks;
  const drainMillisecondsPerTask =
    meanRunMilliseconds / Math.max(1, input.parallelism);
  if (waitingTasks > queueLimit) {
    return {
      kind: RefusalKind.Overloaded,
      reason: `The queue of service "${service}" is full (${String(queueLimit)} tasks); try again later.`,
      retryAfterMilliseconds: addJitter(
        (waitingTasks - queueLimit) * drainMillisecondsPerTask,
        jitter,
      ),
    };
  }
  const contendedThreshold = queueLimit * contendedQueueFraction;
  const teamFairTasks = queueLimit * input.teamFairShare;
  const teamWaitingTasks = input.teamQueuedTasks + input.tasks;
  if (waitingTasks <= contendedThreshold || teamWaitingTasks <= teamFairTasks)
    return undefined;
  return {
    kind: RefusalKind.Overloaded,
    reason: `The queue of service "${service}" is nearly full and team "${team}" holds more than its share; try again later.`,
    retryAfterMilliseconds: addJitter(
      (waitingTasks - contendedThreshold) * drainMillisecondsPerTask,
      jitter,
    ),
  };
}

function findQuotaOrDeadlineRefusal(
  input: AdmissionInput,
  jitter: number,
): JobRefusal | undefined {
  const { service, team, deadlineMilliseconds } = input;
  if (input.teamParallelism <= 0) {
    return {
      kind: RefusalKind.QuotaExceeded,
      reason: `This dispatcher holds no part of the quota of team "${team}" at present; try again later.`,
      retryAfterMilliseconds: addJitter(noShareRetryAfterMilliseconds, jitter),
    };
  }
  const quotaMilliseconds =
    (input.teamBacklogMilliseconds + input.workMilliseconds) /
    input.teamParallelism;
  if (quotaMilliseconds > deadlineMilliseconds) {
    return {
      kind: RefusalKind.QuotaExceeded,
      reason: `The quota of team "${team}" leaves no room before the deadline of ${String(deadlineMilliseconds)} ms; try again later.`,
      retryAfterMilliseconds: addJitter(
        quotaMilliseconds - deadlineMilliseconds,
        jitter,
      ),
    };
  }
  const expectedMilliseconds = estimateResponseMilliseconds(input);
  if (expectedMilliseconds <= deadlineMilliseconds) return undefined;
  return {
    kind: RefusalKind.DeadlineTooClose,
    reason: `Service "${service}" would answer after ${expectedMilliseconds.toFixed(0)} ms, later than the deadline of ${String(deadlineMilliseconds)} ms; allow more time or try again later.`,
    retryAfterMilliseconds: addJitter(
      expectedMilliseconds - deadlineMilliseconds,
      jitter,
    ),
  };
}

/** Estimates the time until the whole job is answered, with a safety factor on the wait. */
function estimateResponseMilliseconds(input: AdmissionInput): Milliseconds {
  const parallelism = Math.max(1, input.parallelism);
  const queueWaitMilliseconds = input.backlogMilliseconds / parallelism;
  const fairParallelism = Math.max(1, parallelism * input.teamFairShare);
  const teamWaitMilliseconds = input.teamBacklogMilliseconds / fairParallelism;
  const waitMilliseconds =
    input.freeSlots >= input.tasks
      ? 0
      : Math.min(queueWaitMilliseconds, teamWaitMilliseconds);
  const executionMilliseconds = Math.max(
    input.minimumRunMilliseconds,
    input.workMilliseconds / Math.max(parallelism, input.freeSlots),
  );
  return waitMilliseconds * waitSafetyFactor + executionMilliseconds;
}

function refuse(
  kind: RefusalKind,
  reason: string,
  retryAfterMilliseconds: Milliseconds | undefined,
): Result<void, JobRefusal> {
  return err({ kind, reason, retryAfterMilliseconds });
}

function addJitter(
  delayMilliseconds: Milliseconds,
  jitter: number,
): Milliseconds {
  const boundedMilliseconds = Math.min(
    Math.max(delayMilliseconds, minimumRetryAfterMilliseconds),
    maximumRetryAfterMilliseconds,
  );
  return Math.round(boundedMilliseconds * (1 + jitter / 4));
}
