/** Decides whether and when a task is retried. */
import type { RandomSource } from '@cranberryturn/random';
import { type Milliseconds, NotStartedReason } from '@cranberryturn/types';

import type { RetryBudget } from './retry-budget.js';

/** How an attempt ended without an answer. */
export enum EndedAttemptKind {
  /** The target started the task and reported a failure. */
  Failed = 'failed',
  /** No result will arrive; the task may have been started. */
  Lost = 'lost',
  /** The target refused the attempt. */
  NotStarted = 'not-started',
}

/** How an attempt ended without an answer, and why a target refused it. */
export type EndedAttempt =
  | { readonly kind: EndedAttemptKind.Failed | EndedAttemptKind.Lost }
  | {
      readonly kind: EndedAttemptKind.NotStarted;
      readonly reason: NotStartedReason;
    };

/** State of a task whose attempt ended without an answer. */
export interface RetryInput {
  readonly ended: EndedAttempt;
  /** Whether the task may run more than once. */
  readonly isRepeatable: boolean;
  /** Attempts that may have been started so far. */
  readonly startedAttempts: number;
  /** Refused attempts of the task so far. */
  readonly refusalCount: number;
  /** Time until the deadline of the job. */
  readonly remainingMilliseconds: Milliseconds;
  /** Minimum time that a further attempt needs for its answer. */
  readonly minimumRunMilliseconds: Milliseconds;
}

/** Whether a task is retried. */
export enum RetryDecisionKind {
  /** The task is placed again after a delay; 0 means at once. */
  Retry = 'again',
  /** The task ends without an answer. */
  GiveUp = 'give-up',
}

/** Whether a task is retried, with the delay or the reason against a retry. */
export type RetryDecision =
  | {
      readonly kind: RetryDecisionKind.Retry;
      readonly delayMilliseconds: Milliseconds;
    }
  | { readonly kind: RetryDecisionKind.GiveUp; readonly reason: string };

const initialBackoffMilliseconds: Milliseconds = 10;
const maximumBackoffMilliseconds: Milliseconds = 1_000;
/** Refusals after which a task is placed again without backoff. */
const maximumImmediateRetries = 2;
/** Maximum number of attempts of one task that may have been started. */
const maximumStartedAttempts = 4;

/**
 * Decides whether a task is retried after an attempt without an answer.
 * A retry of a task that may have been started is spent from the budget; other retries are free.
 */
export function decideRetry(
  input: RetryInput,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  const { ended } = input;
  if (ended.kind === EndedAttemptKind.NotStarted)
    return decideAfterRefusal(input, ended.reason, budget, random);
  return decideAfterStart(input, budget, random);
}

/** Returns an exponential backoff with full jitter; `step` starts at 0. */
export function computeBackoff(
  step: number,
  random: RandomSource,
): Milliseconds {
  const maximumDelayMilliseconds = Math.min(
    initialBackoffMilliseconds * 2 ** step,
    maximumBackoffMilliseconds,
  );
  return random.fraction() * maximumDelayMilliseconds;
}

function decideAfterRefusal(
  input: RetryInput,
  reason: NotStartedReason,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  switch (reason) {
    case NotStartedReason.Busy:
    case NotStartedReason.Draining:
    case NotStartedReason.TargetUnreachable:
    case NotStartedReason.LeaseRefused:
    case NotStartedReason.WrongService:
      return retryBeforeDeadline(input, computeRefusalDelay(input, random));
    case NotStartedReason.AlreadyStarted:
      return decideAfterStart(input, budget, random);
    case NotStartedReason.Fenced:
      return giveUp('another dispatcher took the job over');
    case NotStartedReason.DeadlinePassed:
      return giveUp('the deadline passed before the task was started');
    case NotStartedReason.Cancelled:
      return giveUp('the task was cancelled before it was started');
  }
}

function computeRefusalDelay(
  input: RetryInput,
  random: RandomSource,
): Milliseconds {
  if (input.refusalCount <= maximumImmediateRetries) return 0;
  return computeBackoff(input.refusalCount - maximumImmediateRetries, random);
}

function decideAfterStart(
  input: RetryInput,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  if (!input.isRepeatable) return giveUp('the task may have been started');
  if (input.startedAttempts >= maximumStartedAttempts)
    return giveUp(`${String(input.startedAttempts)} attempts failed`);
  const delayMilliseconds = computeBackoff(input.startedAttempts - 1, random);
  const decision = retryBeforeDeadline(input, delayMilliseconds);
  if (decision.kind === RetryDecisionKind.GiveUp) return decision;
  if (!budget.trySpendRetry()) return giveUp('the retry budget is spent');
  return decision;
}

function retryBeforeDeadline(
  input: RetryInput,
  delayMilliseconds: Milliseconds,
): RetryDecision {
  const neededMilliseconds = delayMilliseconds + input.minimumRunMilliseconds;
  if (neededMilliseconds > input.remainingMilliseconds)
    return giveUp('the deadline leaves no time for another attempt');
  return { kind: RetryDecisionKind.Retry, delayMilliseconds };
}

function giveUp(reason: string): RetryDecision {
  return { kind: RetryDecisionKind.GiveUp, reason };
}
