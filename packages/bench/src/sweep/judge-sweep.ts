/** Judges what came of a trace of random faults by the promises alone. */
import { JobOutcome, Started } from '@cranberryturn/types';

import { checkDecisions } from '../checker/check-decisions.js';
import { statedCheckOptions } from '../checker/violation.js';
import { SubmissionOutcome } from '../load/job-client.js';
import type { CompletedSubmission } from '../load/run-load.js';
import { nameJobInLogs, observeReplies } from '../load/summarize-load.js';
import type { JudgedStage } from '../traces/judge-trace.js';

const graceMilliseconds = 1_000;

/** Lists the broken promises, each in a sentence. */
export function judgeSweep(
  submissions: readonly CompletedSubmission[],
  stage: JudgedStage,
): readonly string[] {
  return [
    ...findViolations(submissions, stage),
    ...findLateReplies(submissions),
    ...findFalseDenials(submissions, stage),
  ];
}

function findViolations(
  submissions: readonly CompletedSubmission[],
  stage: JudgedStage,
): readonly string[] {
  const repeated = listResubmitted(submissions);
  const violations = checkDecisions(stage.records, {
    ...statedCheckOptions,
    startCounts: stage.startCounts(),
    replies: observeReplies(submissions),
    resubmittedJobs: repeated,
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
  submissions: readonly CompletedSubmission[],
  stage: JudgedStage,
): readonly string[] {
  const started = new Set(stage.startCounts().map(count => count.jobId));
  const byJob = new Map<string, CompletedSubmission[]>();
  for (const submission of submissions) {
    const name = nameJobInLogs(submission.job);
    byJob.set(name, [...(byJob.get(name) ?? []), submission]);
  }
  return [...byJob]
    .filter(([name, all]) => started.has(name) && all.every(isDenied))
    .map(([name]) => `false denial: ${name} was started, all replies deny it`);
}

function isDenied({ reply }: CompletedSubmission): boolean {
  return (
    reply.started === Started.No &&
    reply.outcome !== SubmissionOutcome.Complete &&
    reply.jobOutcome !== JobOutcome.Complete
  );
}

function listResubmitted(
  submissions: readonly CompletedSubmission[],
): ReadonlySet<string> {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const { job } of submissions) {
    const name = nameJobInLogs(job);
    if (seen.has(name)) repeated.add(name);
    seen.add(name);
  }
  return repeated;
}
