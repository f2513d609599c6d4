/** Compares the results of a trace with its expectations. */
import { DecisionKind } from '@cranberryturn/types';

import { checkDecisions } from '../checker/check-decisions.js';
import { defaultCheckOptions } from '../checker/violation.js';
import { SubmissionOutcome } from '../load/job-client.js';
import type { CompletedSubmission } from '../load/run-load.js';
import {
  computeIdealMilliseconds,
  toObservedReplies,
} from '../load/summarize-load.js';
import type { TraceSystem } from './trace-system.js';
import { type Expectation, ExpectationKind } from './trace-format.js';

/** The part of a system that the evaluation reads. */
export type EvaluatedSystem = Pick<
  TraceSystem,
  'records' | 'startCounts' | 'targetOf' | 'startedAt'
>;

/** One expectation that was not met. */
export interface UnmetExpectation {
  readonly expectation: Expectation;
  readonly detail: string;
}

const percent = 100;

/** Lists the expectations that were not met. */
export function evaluateTrace(
  expectations: readonly Expectation[],
  submissions: readonly CompletedSubmission[],
  system: EvaluatedSystem,
): readonly UnmetExpectation[] {
  return expectations.flatMap(expectation => {
    const detail = findMismatch(expectation, submissions, system);
    return detail === undefined ? [] : [{ expectation, detail }];
  });
}

function findMismatch(
  expectation: Expectation,
  submissions: readonly CompletedSubmission[],
  system: EvaluatedSystem,
): string | undefined {
  switch (expectation.kind) {
    case ExpectationKind.NoViolations:
      return findViolations(submissions, system);
    case ExpectationKind.EveryJobEnds:
      return findLateJob(submissions, expectation.graceMilliseconds);
    case ExpectationKind.CompleteShare: {
      const counted = submissions.filter(one => one.job.at >= expectation.from);
      const share = computeCompleteShare(counted);
      if (share >= expectation.atLeast) return undefined;
      return `${String(share)} of ${String(counted.length)} jobs are complete: ${listReasons(counted)}`;
    }
    case ExpectationKind.JobEnds:
      return findWrongEnd(expectation, submissions);
    case ExpectationKind.StartsOnWorker: {
      const starts = countStarts(system, expectation.worker, expectation.from);
      if (starts <= expectation.atMost) return undefined;
      return `${String(starts)} starts on worker ${String(expectation.worker)}`;
    }
    case ExpectationKind.ResponseOverIdeal: {
      const ratio = findPercentile(submissions, expectation.percentile);
      if (ratio <= expectation.atMost) return undefined;
      return `response / ideal at p${String(expectation.percentile)} is ${String(ratio)}`;
    }
  }
}

function findViolations(
  submissions: readonly CompletedSubmission[],
  system: EvaluatedSystem,
): string | undefined {
  const violations = checkDecisions(system.records, {
    ...defaultCheckOptions,
    startCounts: system.startCounts(),
    replies: toObservedReplies(submissions),
  });
  const [first] = violations;
  if (first === undefined) return undefined;
  return `${String(violations.length)} violations, first: ${first.kind}: ${first.subject}: ${first.detail}`;
}

function findLateJob(
  submissions: readonly CompletedSubmission[],
  grace: number,
): string | undefined {
  const late = submissions.find(
    one => one.responseMilliseconds > one.job.deadlineMilliseconds + grace,
  );
  if (late === undefined) return undefined;
  return `job ${late.job.jobId} took ${String(late.responseMilliseconds)} ms`;
}

function findWrongEnd(
  expectation: Extract<Expectation, { kind: ExpectationKind.JobEnds }>,
  submissions: readonly CompletedSubmission[],
): string | undefined {
  const last = submissions.findLast(one => one.job.jobId === expectation.jobId);
  if (last === undefined) return `job ${expectation.jobId} was not submitted`;
  const { outcome, started, reason } = last.reply;
  const isExpected =
    expectation.outcomes.includes(outcome) &&
    (expectation.started === undefined ||
      (started !== undefined && expectation.started.includes(started)));
  if (isExpected) return undefined;
  return `ended ${outcome}, started ${started ?? 'not stated'}: ${reason ?? 'no reason'}`;
}

function countStarts(
  system: EvaluatedSystem,
  worker: number,
  from: number,
): number {
  const target = system.targetOf(worker);
  return system.records.filter(
    record =>
      record.kind === DecisionKind.Started &&
      record.target === target &&
      record.at >= system.startedAt + from,
  ).length;
}

function computeCompleteShare(
  submissions: readonly CompletedSubmission[],
): number {
  const complete = submissions.filter(
    one => one.reply.outcome === SubmissionOutcome.Complete,
  );
  return submissions.length === 0 ? 0 : complete.length / submissions.length;
}

function findPercentile(
  submissions: readonly CompletedSubmission[],
  percentile: number,
): number {
  const ratios = submissions
    .filter(one => one.reply.outcome === SubmissionOutcome.Complete)
    .map(one => one.responseMilliseconds / computeIdealMilliseconds(one.job, 0))
    .sort((left, right) => left - right);
  const position = Math.ceil((ratios.length * percentile) / percent) - 1;
  return ratios[Math.max(0, position)] ?? Number.POSITIVE_INFINITY;
}

function listReasons(submissions: readonly CompletedSubmission[]): string {
  const reasons = submissions
    .filter(one => one.reply.outcome !== SubmissionOutcome.Complete)
    .map(one => one.reply.reason ?? one.reply.outcome);
  return [...new Set(reasons)].slice(0, 3).join('; ');
}
