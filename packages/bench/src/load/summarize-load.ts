/** Summarises a load: response times relative to the ideal, and outcomes of the jobs. */
import { JobOutcome, type Milliseconds } from '@cranberryturn/types';
import { build, type Histogram } from 'hdr-histogram-js';

import type { ObservedReply } from '../checker/violation.js';
import { SubmissionOutcome } from './job-client.js';
import type { PlannedJob } from './plan-load.js';
import type { CompletedSubmission } from './run-load.js';

/** Quantiles of one measured quantity. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly maximum: number;
}

/** Figures of one load, as saved in result files. */
export interface LoadSummary {
  readonly jobs: number;
  readonly tasks: number;
  readonly complete: number;
  readonly failed: number;
  readonly refused: number;
  readonly broken: number;
  /** Response time divided by the ideal, for complete jobs. */
  readonly responseOverIdeal: Quantiles;
  readonly responseMilliseconds: Quantiles;
  /** The first distinct reasons of failed, refused and broken submissions. */
  readonly reasons: readonly string[];
}

const histogramStepsPerUnit = 1_000;
const maximumHistogramValue = 3_600_000;
const maximumReasons = 5;

/**
 * Summarises submissions. A loopback run has no network delay between caller
 * and dispatcher, so the delay is added to the response and to the ideal.
 */
export function summarizeLoad(
  submissions: readonly CompletedSubmission[],
  callerDelayMilliseconds: Milliseconds,
): LoadSummary {
  const ratios = createHistogram();
  const responses = createHistogram();
  for (const { job, reply, responseMilliseconds } of submissions) {
    if (reply.outcome !== SubmissionOutcome.Complete) continue;
    const response = responseMilliseconds + 2 * callerDelayMilliseconds;
    const ideal = computeIdealMilliseconds(job, callerDelayMilliseconds);
    ratios.recordValue(toHistogramSteps(response / ideal));
    responses.recordValue(toHistogramSteps(response));
  }
  return {
    jobs: submissions.length,
    tasks: submissions.reduce((sum, one) => sum + one.job.tasks.length, 0),
    complete: countOutcome(submissions, SubmissionOutcome.Complete),
    failed: countOutcome(submissions, SubmissionOutcome.Failed),
    refused: countOutcome(submissions, SubmissionOutcome.Refused),
    broken: countOutcome(submissions, SubmissionOutcome.Broken),
    responseOverIdeal: readQuantiles(ratios),
    responseMilliseconds: readQuantiles(responses),
    reasons: listReasons(submissions),
  };
}

/** Computes the shortest possible response: all tasks run in parallel, so the longest one plus the network delay. */
export function computeIdealMilliseconds(
  job: PlannedJob,
  callerDelayMilliseconds: Milliseconds,
): Milliseconds {
  const longest = Math.max(...job.tasks.map(task => task.runMilliseconds));
  return longest + 2 * callerDelayMilliseconds;
}

/** Converts replies to the form that the invariant checker reads. Broken replies are omitted. */
export function toObservedReplies(
  submissions: readonly CompletedSubmission[],
): readonly ObservedReply[] {
  return submissions
    .filter(({ reply }) => reply.outcome !== SubmissionOutcome.Broken)
    .map(({ job, reply }) => ({
      jobId: composeLoggedJobId(job),
      askedTasks: job.tasks.map(task => task.taskId),
      outcome: reply.jobOutcome ?? JobOutcome.Failed,
      started: reply.started,
      answers: reply.answers,
    }));
}

/** Composes the identifier of a job in the decision logs, which is unique across teams. */
export function composeLoggedJobId(job: PlannedJob): string {
  return `${job.team}/${job.jobId}`;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: maximumHistogramValue * histogramStepsPerUnit,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function toHistogramSteps(value: number): number {
  return Math.round(
    Math.min(Math.max(value, 0), maximumHistogramValue) * histogramStepsPerUnit,
  );
}

function readQuantiles(histogram: Histogram): Quantiles {
  const read = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / histogramStepsPerUnit;
  return {
    p50: read(50),
    p99: read(99),
    p999: read(99.9),
    maximum: histogram.maxValue / histogramStepsPerUnit,
  };
}

function countOutcome(
  submissions: readonly CompletedSubmission[],
  outcome: SubmissionOutcome,
): number {
  return submissions.filter(({ reply }) => reply.outcome === outcome).length;
}

function listReasons(submissions: readonly CompletedSubmission[]): string[] {
  const reasons = submissions
    .filter(({ reply }) => reply.outcome !== SubmissionOutcome.Complete)
    .map(
      ({ reply }) => `${String(reply.status)}: ${reply.reason ?? 'no reason'}`,
    );
  return [...new Set(reasons)].slice(0, maximumReasons);
}
