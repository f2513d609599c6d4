/** Checks a trace of random faults against the guarantees; such a trace has no expectations of its own. */
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

/** Submissions by the identifier of the job in the decision logs. */
type SubmissionsOfJob = ReadonlyMap<string, readonly CompletedSubmission[]>;

/** Lists violated guarantees, one description each. */
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
        `late: job ${job.jobId} took ${String(responseMilliseconds)} ms, deadline ${String(job.deadlineMilliseconds)} ms`,
    );
}

/** Finds jobs that were started although every reply says that nothing was started. */
function findFalseDenials(
  byJob: SubmissionsOfJob,
  system: EvaluatedSystem,
): readonly string[] {
  const started = new Set(system.startCounts().map(count => count.jobId));
  return [...byJob]
    .filter(
      ([name, all]) => started.has(name) && all.every(isReportedNotStarted),
    )
    .map(
      ([name]) =>
        `false denial: ${name} was started, but every reply says that it was not`,
    );
}

function isReportedNotStarted({ reply }: CompletedSubmission): boolean {
  return (
    reply.started === Started.No &&
    reply.outcome !== SubmissionOutcome.Complete &&
    reply.jobOutcome !== JobOutcome.Complete
  );
}
