/** Judges what came of a trace of random faults by the promises alone. */
import { JobOutcome, Started } from '@cranberryturn/types';

import { checkDecisions } from '../checker/check-decisions.js';
import { defaultCheckOptions } from '../checker/violation.js';
import { SubmissionOutcome } from '../load/job-client.js';
import type { CompletedSubmission } from '../load/run-load.js';
import {
  composeLoggedJobId,
  toObservedReplies,
} from '../load/summarize-load.js';
import type { EvaluatedSystem } from '../traces/evaluate-trace.js';

const graceMilliseconds = 1_000;

/** Submissions by the name of their job in the logs. */
type SubmissionsOfJob = ReadonlyMap<string, readonly CompletedSubmission[]>;

/** Lists the broken promises, each in a sentence. */
export function findSweepViolations(
  submissions: readonly CompletedSubmission[],
  system: EvaluatedSystem,
): readonly string[] {
  const byJob = groupByJob(submissions);
  return [
    ...findDecisionViolations(submissions, byJob, system),
    ...findLateReplies(submissions),
    ...findFalseDenials(byJob, system),
  ];
}

function groupByJob(
  submissions: readonly CompletedSubmission[],
): SubmissionsOfJob {
  const byJob = new Map<string, CompletedSubmission[]>();
  for (const submission of submissions) {
    const name = composeLoggedJobId(submission.job);
    const known = byJob.get(name);
    if (known === undefined) byJob.set(name, [submission]);
    else known.push(submission);
  }
  return byJob;
}

function findDecisionViolations(
  submissions: readonly CompletedSubmission[],
  byJob: SubmissionsOfJob,
  system: EvaluatedSystem,
): readonly string[] {
  const resubmitted = [...byJob].filter(([, all]) => all.length > 1);
  const violations = checkDecisions(system.records, {
    ...defaultCheckOptions,
    startCounts: system.startCounts(),
    replies: toObservedReplies(submissions),
    resubmittedJobs: new Set(resubmitted.map(([name]) => name)),
  });
  return violations.map(
    ({ kind, subject, detail }) => `${kind}: ${subject}: ${detail}`,
  );
}

function findLateReplies(
  submissions: readonly CompletedSubmission[],
): readonly string[] {
  return submissions
    .filter(
      ({ job, responseMilliseconds }) =>
        responseMilliseconds > job.deadlineMilliseconds + graceMilliseconds,
    )
    .map(
      ({ job, responseMilliseconds }) =>
        `late: job ${job.jobId} took ${String(responseMilliseconds)} ms of ${String(job.deadlineMilliseconds)}`,
    );
}

/** A job of which every submission was told that nothing started must never have started. */
function findFalseDenials(
  byJob: SubmissionsOfJob,
  system: EvaluatedSystem,
): readonly string[] {
  const started = new Set(system.startCounts().map(count => count.jobId));
  return [...byJob]
    .filter(
      ([name, all]) => started.has(name) && all.every(isReportedNotStarted),
    )
    .map(([name]) => `false denial: ${name} was started, all replies deny it`);
}

function isReportedNotStarted({ reply }: CompletedSubmission): boolean {
  return (
    reply.started === Started.No &&
    reply.outcome !== SubmissionOutcome.Complete &&
    reply.jobOutcome !== JobOutcome.Complete
  );
}
