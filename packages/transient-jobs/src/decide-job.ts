/**
 * Admits or refuses a job before anything of it is started. Answers overload: a job that cannot end
 * in a time that is still of use is refused at once, so that the workers serve those that can.
 */
import type { Milliseconds, QueueConfiguration } from '@cranberryturn/types';

/**
 * A job that has to wait is admitted while it is expected to end within this multiple of the time
 * aimed at: later ones would make those behind them late as well.
 */
export const latestEnd = 1;

/** An answer that is later than this multiple of the time aimed at is of no use to its caller. */
const latestUse = 3;

const noWorkerRetry: Milliseconds = 1_000;
const shortestRetry: Milliseconds = 200;
const longestRetry: Milliseconds = 30_000;

/** The state against which a job is weighed. */
export interface JobQuestion {
  readonly queue: QueueConfiguration;
  /** Longest chain of expected run times. */
  readonly chainMilliseconds: Milliseconds;
  /** Longest time for which a task of it would wait; undefined when not all of them can be placed now. */
  readonly waitMilliseconds: Milliseconds | undefined;
  /** Time for which the caller has waited already. */
  readonly heldMilliseconds: Milliseconds;
  /** Time for which the caller waits in all. */
  readonly deadlineMilliseconds: Milliseconds;
  /** Whether a worker is known that could hold each task. */
  readonly isPossible: boolean;
  /** Whether any worker of the service is known. */
  readonly hasWorkers: boolean;
}

/** Why a job is refused. */
export interface JobRefusal {
  readonly reason: string;
  /** When to come back; undefined when it would be refused again. */
  readonly retryAfterMilliseconds: Milliseconds | undefined;
}

/** The response time aimed at for a job. */
export function computeObjective(
  queue: QueueConfiguration,
  chainMilliseconds: Milliseconds,
): Milliseconds {
  return (
    queue.slackFactor * chainMilliseconds + queue.targetLatencyMilliseconds
  );
}

/** Refuses a job that cannot be of use; undefined admits it. */
export function decideJob(question: JobQuestion): JobRefusal | undefined {
  const { queue, waitMilliseconds, deadlineMilliseconds, heldMilliseconds } =
    question;
  if (!question.hasWorkers) {
    return {
      reason: `no worker of service "${queue.service}" is known`,
      retryAfterMilliseconds: noWorkerRetry,
    };
  }
  if (!question.isPossible) {
    return {
      reason: `no worker of service "${queue.service}" can ever hold a task of the job`,
      retryAfterMilliseconds: undefined,
    };
  }
  if (waitMilliseconds === undefined) {
    return {
      reason: `no worker of service "${queue.service}" takes tasks at present`,
      retryAfterMilliseconds: noWorkerRetry,
    };
  }
  const objective = computeObjective(queue, question.chainMilliseconds);
  const useful = Math.min(deadlineMilliseconds, objective * latestEnd);
  const expected =
    heldMilliseconds + waitMilliseconds + question.chainMilliseconds;
  if (expected <= useful) return undefined;
  // A job that would start at once is run, whatever its tasks declare; one that was held may be past its use.
  const isPastUse = heldMilliseconds > 0 && expected > objective * latestUse;
  if (waitMilliseconds <= 0 && !isPastUse) return undefined;
  const late = expected - useful;
  return {
    reason: `the job would end after ${expected.toFixed(0)} ms, and is of use for ${useful.toFixed(0)} ms`,
    retryAfterMilliseconds: Math.min(
      longestRetry,
      Math.max(shortestRetry, late),
    ),
  };
}
