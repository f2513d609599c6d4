/** Decides whether and when a task is tried again. */
import type { RandomSource } from '@cranberryturn/random';
import { type Milliseconds, NotStartedReason } from '@cranberryturn/types';

import type { RetryBudget } from './retry-budget.js';

/** How an attempt ended without an answer. */
export enum EndedAttemptKind {
  Failed = 'failed',
  /** Nothing more will be heard of the attempt. */
  Lost = 'lost',
  NotStarted = 'not-started',
}

/** How an attempt ended without an answer. */
export type EndedAttempt =
  | { readonly kind: EndedAttemptKind.Failed | EndedAttemptKind.Lost }
  | {
      readonly kind: EndedAttemptKind.NotStarted;
      readonly reason: NotStartedReason;
    };

/** What is known of a task whose attempt ended without an answer. */
export interface RetryQuestion {
  readonly ended: EndedAttempt;
  /** Whether the task may run more than once. */
  readonly repeatable: boolean;
  /** Attempts that may have been started so far. */
  readonly startedAttempts: number;
  /** Refusals in a row, all of them provably not started. */
  readonly refusals: number;
  readonly remainingMilliseconds: Milliseconds;
  /** Shortest time in which a further attempt could be answered. */
  readonly shortestRunMilliseconds: Milliseconds;
}

/** What follows an attempt that ended without an answer. */
export enum RetryDecisionKind {
  /** Place the task again after a delay; 0 means at once. */
  Again = 'again',
  /** The task ends. */
  GiveUp = 'give-up',
}

/** What follows an attempt that ended without an answer. */
export type RetryDecision =
  | {
      readonly kind: RetryDecisionKind.Again;
      readonly delayMilliseconds: Milliseconds;
    }
  | { readonly kind: RetryDecisionKind.GiveUp; readonly reason: string };

const firstBackoffMilliseconds: Milliseconds = 10;
const longestBackoffMilliseconds: Milliseconds = 1_000;
const refusalsWithoutDelay = 2;
const mostStartedAttempts = 4;

/** Decides what follows an attempt that ended without an answer. Spends from the budget when a started task is tried again. */
export function decideRetry(
  question: RetryQuestion,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  const { ended } = question;
  if (ended.kind === EndedAttemptKind.NotStarted)
    return decideAfterRefusal(question, ended.reason, budget, random);
  return decideAfterStart(question, budget, random);
}

/** Exponential backoff with full jitter. `step` starts at 0. */
export function computeBackoff(
  step: number,
  random: RandomSource,
): Milliseconds {
  const ceiling = Math.min(
    firstBackoffMilliseconds * 2 ** step,
    longestBackoffMilliseconds,
  );
  return random.fraction() * ceiling;
}

function decideAfterRefusal(
  question: RetryQuestion,
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
      return placeAgain(question, delayAfterRefusal(question, random));
    case NotStartedReason.AlreadyStarted:
      return decideAfterStart(question, budget, random);
    case NotStartedReason.Fenced:
      return giveUp('another dispatcher took the job over');
    case NotStartedReason.DeadlinePassed:
      return giveUp('the deadline passed before the task was started');
    case NotStartedReason.Cancelled:
      return giveUp('the task was cancelled before it was started');
  }
}

function delayAfterRefusal(
  question: RetryQuestion,
  random: RandomSource,
): Milliseconds {
  if (question.refusals <= refusalsWithoutDelay) return 0;
  return computeBackoff(question.refusals - refusalsWithoutDelay, random);
}

function decideAfterStart(
  question: RetryQuestion,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  if (!question.repeatable) return giveUp('the task may have been started');
  if (question.startedAttempts >= mostStartedAttempts)
    return giveUp(`${String(question.startedAttempts)} attempts failed`);
  const delay = computeBackoff(question.startedAttempts - 1, random);
  const decision = placeAgain(question, delay);
  if (decision.kind === RetryDecisionKind.GiveUp) return decision;
  if (!budget.trySpend()) return giveUp('the retry budget is spent');
  return decision;
}

function placeAgain(
  question: RetryQuestion,
  delayMilliseconds: Milliseconds,
): RetryDecision {
  const needed = delayMilliseconds + question.shortestRunMilliseconds;
  if (needed > question.remainingMilliseconds)
    return giveUp('the deadline leaves no time for another attempt');
  return { kind: RetryDecisionKind.Again, delayMilliseconds };
}

function giveUp(reason: string): RetryDecision {
  return { kind: RetryDecisionKind.GiveUp, reason };
}
