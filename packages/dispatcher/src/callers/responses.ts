/** Composes HTTP responses to callers. */
import {
  JobOutcome,
  type JobResult,
  type Milliseconds,
  Started,
} from '@cranberryturn/types';

import {
  type SubmissionResult,
  SubmissionResultKind,
  SubmissionRefusal,
} from '../submission-result.js';
import { readCallerJobId } from './job-identifiers.js';

/** HTTP statuses of responses to callers. */
export enum CallerStatus {
  Ok = 200,
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  Conflict = 409,
  TooLarge = 413,
  Unprocessable = 422,
  TooManyRequests = 429,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
}

/** An HTTP response to a caller. The body is JSON text. */
export interface CallerResponse {
  readonly status: CallerStatus;
  readonly body: string;
  readonly retryAfterMilliseconds?: Milliseconds | undefined;
}

const millisecondsPerSecond = 1_000;

/** Composes the refusal of a request, of which nothing was or will be started. */
export function composeRefusal(
  status: CallerStatus,
  reason: string,
  jobId?: string,
  retryAfterMilliseconds?: Milliseconds,
): CallerResponse {
  const body = JSON.stringify({
    jobId,
    outcome: JobOutcome.Failed,
    reason,
    started: Started.No,
  });
  return { status, body, retryAfterMilliseconds };
}

/** Composes the response to a request whose handling failed at an unknown point. */
export function composeUnexpectedFailure(): CallerResponse {
  const body = JSON.stringify({
    outcome: JobOutcome.Failed,
    reason:
      'An unexpected error ended the handling of this request; submit the same job again.',
    started: Started.Perhaps,
  });
  return { status: CallerStatus.BadGateway, body };
}

/** Composes the response to a submitted job or request. */
export function composeSubmissionResponse(
  outcome: SubmissionResult,
  jobId: string,
): CallerResponse {
  switch (outcome.kind) {
    case SubmissionResultKind.Result:
      return composeResultResponse(outcome.result);
    case SubmissionResultKind.Conflict:
      return composeRefusal(
        CallerStatus.Conflict,
        `Job "${jobId}" was already submitted with another body; choose another jobId.`,
        jobId,
      );
    case SubmissionResultKind.Refused:
      return composeRefusal(
        chooseRefusalStatus(outcome.refusal),
        outcome.reason,
        jobId,
        outcome.retryAfterMilliseconds,
      );
  }
}

/** Composes the response for a job that has a result. */
export function composeResultResponse(result: JobResult): CallerResponse {
  const jobId = readCallerJobId(result.jobId);
  if (result.outcome === JobOutcome.Complete) {
    const answers = result.answers.map(
      one => `{"taskId":${JSON.stringify(one.taskId)},"answer":${one.answer}}`,
    );
    const body = `{"jobId":${JSON.stringify(jobId)},"outcome":"complete","answers":[${answers.join(',')}]}`;
    return { status: CallerStatus.Ok, body };
  }
  const { reason, started, outcome } = result;
  return {
    status: chooseFailureStatus(result.started, result.deadlinePassed),
    body: JSON.stringify({ jobId, outcome, reason, started }),
    retryAfterMilliseconds:
      started === Started.No ? millisecondsPerSecond : undefined,
  };
}

/** Formats the Retry-After header: whole seconds, rounded up, at least 1. */
export function composeRetryAfter(milliseconds: Milliseconds): string {
  return String(Math.max(1, Math.ceil(milliseconds / millisecondsPerSecond)));
}

function chooseFailureStatus(
  started: Started,
  deadlinePassed: boolean,
): CallerStatus {
  if (started === Started.No) return CallerStatus.Unavailable;
  return deadlinePassed ? CallerStatus.GatewayTimeout : CallerStatus.BadGateway;
}

function chooseRefusalStatus(refusal: SubmissionRefusal): CallerStatus {
  switch (refusal) {
    case SubmissionRefusal.QuotaExceeded:
      return CallerStatus.TooManyRequests;
    case SubmissionRefusal.Unavailable:
      return CallerStatus.Unavailable;
    case SubmissionRefusal.Impossible:
    case SubmissionRefusal.TooOld:
      return CallerStatus.Unprocessable;
  }
}
