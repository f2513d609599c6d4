/** Converts jobs and results for submissions to a dispatcher without HTTP. */
import {
  type SubmissionResult,
  SubmissionResultKind,
} from '@cranberryturn/dispatcher';
import { JobOutcome, type JobRequest, Started } from '@cranberryturn/types';

import { SubmissionOutcome, type SubmissionReply } from '../load/job-client.js';
import type { PlannedJob } from '../load/plan-load.js';
import { composeLoggedJobId } from '../load/summarize-load.js';

/** The reply recorded when the connection of the caller breaks. */
export const brokenReply: SubmissionReply = {
  outcome: SubmissionOutcome.Broken,
  status: 0,
  reason: 'the connection broke',
  answers: [],
};

const statuses = { ok: 200, conflict: 409, failed: 502, refused: 503 };

/** Converts a planned job into the request that a dispatcher parses from HTTP. */
export function toJobRequest(job: PlannedJob): JobRequest {
  return {
    jobId: composeLoggedJobId(job),
    service: job.service,
    team: job.team,
    idempotent: job.idempotent,
    deadlineMilliseconds: job.deadlineMilliseconds,
    tasks: job.tasks.map(task => ({
      taskId: task.taskId,
      payload: JSON.stringify({
        runMilliseconds: task.runMilliseconds,
        answerBytes: task.answerBytes,
      }),
      declared: task.declared,
    })),
  };
}

/** Converts a submission result into the reply that a caller receives over HTTP. */
export function readSubmission(submission: SubmissionResult): SubmissionReply {
  switch (submission.kind) {
    case SubmissionResultKind.Result:
      return readResult(submission.result);
    case SubmissionResultKind.Refused:
      return {
        outcome: SubmissionOutcome.Refused,
        status: statuses.refused,
        started: Started.No,
        reason: submission.reason,
        answers: [],
      };
    case SubmissionResultKind.Conflict:
      return {
        outcome: SubmissionOutcome.Refused,
        status: statuses.conflict,
        answers: [],
      };
  }
}

function readResult(
  result: Extract<
    SubmissionResult,
    { kind: SubmissionResultKind.Result }
  >['result'],
): SubmissionReply {
  if (result.outcome === JobOutcome.Failed) {
    return {
      outcome: SubmissionOutcome.Failed,
      status: statuses.failed,
      jobOutcome: result.outcome,
      started: result.started,
      reason: result.reason,
      answers: [],
    };
  }
  return {
    outcome: SubmissionOutcome.Complete,
    status: statuses.ok,
    jobOutcome: result.outcome,
    answers: result.answers.map(({ taskId, answer }) => {
      const echoed = JSON.parse(answer) as { jobId: string; taskId: string };
      return { taskId, echoedJobId: echoed.jobId, echoedTaskId: echoed.taskId };
    }),
  };
}
