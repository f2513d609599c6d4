/** Decides before the claim whether a job is admitted. */
import type { Milliseconds, ServiceName, TeamName } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import { type JobRefusal, RefusalKind } from './job-refusal.js';

/** The state against which a job is weighed. */
export interface AdmissionQuestion {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly tasks: number;
  readonly deadlineMilliseconds: Milliseconds;
  /** Expected run time of all tasks of the job together. */
  readonly workMilliseconds: Milliseconds;
  /** Shortest time in which a task of the service was seen to run. */
  readonly shortestRunMilliseconds: Milliseconds;
  /** Targets of the service. */
  readonly targets: number;
  /** What no worker has, when no worker can ever hold a task of the job. */
  readonly missingResource: string | undefined;
  readonly queueLimit: number;
  readonly queuedTasks: number;
  readonly freeSlots: number;
  /** Expected run time of everything that waits in this dispatcher. */
  readonly backlogMilliseconds: Milliseconds;
  /** Tasks that this dispatcher can expect to run at the same time. */
  readonly parallelism: number;
  readonly teamQueuedTasks: number;
  readonly teamBacklogMilliseconds: Milliseconds;
  /** Tasks that the quota lets the team run at the same time; may be infinite. */
  readonly teamParallelism: number;
  /** Part of the capacity that the team can count on, from 0 to 1. */
  readonly teamFairShare: number;
}

const noTargetRetryMilliseconds: Milliseconds = 1_000;
const noShareRetryMilliseconds: Milliseconds = 1_000;
const shortestRetryMilliseconds: Milliseconds = 100;
const longestRetryMilliseconds: Milliseconds = 60_000;
/** Above this part of the queue limit, only teams below their fair share are admitted. */
const sharedQueuePart = 0.75;
/** Run times and the share of the slots vary: the wait is expected to be this much longer. */
const waitMargin = 1.5;

/** Admits or refuses a job. `jitter` from 0 to 1 spreads the times to come back. */
export function decideAdmission(
  question: AdmissionQuestion,
  jitter: number,
): Result<void, JobRefusal> {
  const { service } = question;
  if (question.targets === 0) {
    return refuse(
      RefusalKind.NoTarget,
      `No target of service "${service}" is connected; try again later.`,
      spread(noTargetRetryMilliseconds, jitter),
    );
  }
  if (question.missingResource !== undefined) {
    return refuse(
      RefusalKind.Impossible,
      `No worker of service "${service}" can hold a task that needs ${question.missingResource}; ask for less.`,
      undefined,
    );
  }
  const overfull = findOverfullQueue(question, jitter);
  if (overfull !== undefined) return err(overfull);
  const late = findLateAnswer(question, jitter);
  return late === undefined ? ok(undefined) : err(late);
}

function findOverfullQueue(
  question: AdmissionQuestion,
  jitter: number,
): JobRefusal | undefined {
  const { queueLimit, service, team } = question;
  const waiting = question.queuedTasks + question.tasks - question.freeSlots;
  const perTask = question.workMilliseconds / question.tasks;
  const drain = perTask / Math.max(1, question.parallelism);
  if (waiting > queueLimit) {
    return {
      kind: RefusalKind.Overloaded,
      reason: `The queue of service "${service}" is full (${String(queueLimit)} tasks); try again later.`,
      retryAfterMilliseconds: spread((waiting - queueLimit) * drain, jitter),
    };
  }
  const shared = queueLimit * sharedQueuePart;
  const fairPart = queueLimit * question.teamFairShare;
  const teamWaiting = question.teamQueuedTasks + question.tasks;
  if (waiting <= shared || teamWaiting <= fairPart) return undefined;
  return {
    kind: RefusalKind.Overloaded,
    reason: `The queue of service "${service}" is nearly full and team "${team}" holds more than its share; try again later.`,
    retryAfterMilliseconds: spread((waiting - shared) * drain, jitter),
  };
}

function findLateAnswer(
  question: AdmissionQuestion,
  jitter: number,
): JobRefusal | undefined {
  const { service, team, deadlineMilliseconds } = question;
  if (question.teamParallelism <= 0) {
    return {
      kind: RefusalKind.QuotaExceeded,
      reason: `This dispatcher holds no part of the quota of team "${team}" at present; try again later.`,
      retryAfterMilliseconds: spread(noShareRetryMilliseconds, jitter),
    };
  }
  const quotaMilliseconds =
    (question.teamBacklogMilliseconds + question.workMilliseconds) /
    question.teamParallelism;
  if (quotaMilliseconds > deadlineMilliseconds) {
    return {
      kind: RefusalKind.QuotaExceeded,
      reason: `The quota of team "${team}" leaves no room before the deadline of ${String(deadlineMilliseconds)} ms; try again later.`,
      retryAfterMilliseconds: spread(
        quotaMilliseconds - deadlineMilliseconds,
        jitter,
      ),
    };
  }
  const expected = expectAnswer(question);
  if (expected <= deadlineMilliseconds) return undefined;
  return {
    kind: RefusalKind.DeadlineTooClose,
    reason: `Service "${service}" would answer after ${expected.toFixed(0)} ms, later than the deadline of ${String(deadlineMilliseconds)} ms; allow more time or try again later.`,
    retryAfterMilliseconds: spread(expected - deadlineMilliseconds, jitter),
  };
}

/** Time until the whole job is answered; the wait is taken longer than the mean says. */
function expectAnswer(question: AdmissionQuestion): Milliseconds {
  const parallelism = Math.max(1, question.parallelism);
  const waitInLine = question.backlogMilliseconds / parallelism;
  const fairParallelism = Math.max(1, parallelism * question.teamFairShare);
  const waitInTeam = question.teamBacklogMilliseconds / fairParallelism;
  const wait =
    question.freeSlots >= question.tasks ? 0 : Math.min(waitInLine, waitInTeam);
  const run = Math.max(
    question.shortestRunMilliseconds,
    question.workMilliseconds / Math.max(parallelism, question.freeSlots),
  );
  return wait * waitMargin + run;
}

function refuse(
  kind: RefusalKind,
  reason: string,
  retryAfterMilliseconds: Milliseconds | undefined,
): Result<void, JobRefusal> {
  return err({ kind, reason, retryAfterMilliseconds });
}

function spread(duration: Milliseconds, jitter: number): Milliseconds {
  const bounded = Math.min(
    Math.max(duration, shortestRetryMilliseconds),
    longestRetryMilliseconds,
  );
  return Math.round(bounded * (1 + jitter / 4));
}
