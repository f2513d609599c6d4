/** Answers what callers ask about jobs and requests. */
import { randomUUID } from 'node:crypto';

import type {
  ClusterConfiguration,
  JobId,
  JobResult,
  TeamName,
} from '@cranberryturn/types';
import type { Context } from 'hono';

import type { JobService } from '../job-service.js';
import {
  type CallerResponse,
  CallerStatus,
  composeRefusal,
  composeResultResponse,
  composeSubmissionResponse,
} from './responses.js';
import { composeJobId } from './job-identifiers.js';
import {
  parseJob,
  parseRequest,
  type SubmissionContext,
} from './parse-submission.js';

const defaultDeadlineMilliseconds = 30_000;
const requestIdHeader = 'x-request-id';
const idempotencyKeyHeader = 'idempotency-key';

/** What the answers are made from. */
export interface CallerRequestOptions {
  readonly jobs: JobService;
  readonly configuration: () => ClusterConfiguration;
  /** Looks for a job at the other dispatchers. */
  readonly findElsewhere: (
    jobId: JobId,
    cancel: boolean,
  ) => Promise<JobResult | undefined>;
}

/** Submits a job of a team. */
export async function submitJob(
  options: CallerRequestOptions,
  context: Context,
  team: TeamName,
): Promise<CallerResponse> {
  const text = await context.req.text();
  const job = parseJob(text, composeSubmissionContext(options, context, team));
  if (job.isErr()) {
    return composeRefusal(CallerStatus.BadRequest, job.error);
  }
  const submission = await options.jobs.submitJob(
    job.value,
    chooseRequestId(context),
  );
  return composeSubmissionResponse(submission, job.value.jobId);
}

/** Submits one request of a team. */
export async function submitRequest(
  options: CallerRequestOptions,
  context: Context,
  team: TeamName,
): Promise<CallerResponse> {
  const text = await context.req.text();
  const requestId = chooseRequestId(context);
  const key = context.req.header(idempotencyKeyHeader);
  const isIdempotent = key === undefined;
  const callerJobId = isIdempotent ? randomUUID() : `key:${key}`;
  const request = parseRequest(
    text,
    composeSubmissionContext(options, context, team),
    callerJobId,
    isIdempotent,
  );
  if (request.isErr()) {
    return composeRefusal(CallerStatus.BadRequest, request.error);
  }
  const submission = isIdempotent
    ? await options.jobs.runRequest(request.value, requestId)
    : await options.jobs.submitJob(request.value, requestId);
  return composeSubmissionResponse(submission, callerJobId);
}

/** Shows a job of a team, wherever it runs. */
export async function showJob(
  options: CallerRequestOptions,
  context: Context,
  team: TeamName,
): Promise<CallerResponse> {
  const jobId = readJobId(context, team);
  const entry = options.jobs.find(jobId);
  if (entry?.result !== undefined) return composeResultResponse(entry.result);
  if (entry !== undefined) return composeRunningResponse();
  const elsewhere = await options.findElsewhere(jobId, false);
  return elsewhere === undefined
    ? composeUnknownJobResponse()
    : composeResultResponse(elsewhere);
}

/** Cancels a job of a team, wherever it runs. */
export async function cancelJob(
  options: CallerRequestOptions,
  context: Context,
  team: TeamName,
): Promise<CallerResponse> {
  const jobId = readJobId(context, team);
  const result =
    (await options.jobs.cancelJob(jobId)) ??
    (await options.findElsewhere(jobId, true));
  return result === undefined
    ? composeUnknownJobResponse()
    : composeResultResponse(result);
}

function composeSubmissionContext(
  options: CallerRequestOptions,
  context: Context,
  team: TeamName,
): SubmissionContext {
  const service = context.req.param('service') ?? '';
  const configured = options
    .configuration()
    .services.find(one => one.service === service);
  return {
    service,
    team,
    defaultDeadlineMilliseconds:
      configured?.defaultDeadlineMilliseconds ?? defaultDeadlineMilliseconds,
  };
}

function readJobId(context: Context, team: TeamName): JobId {
  return composeJobId(team, context.req.param('jobId') ?? '');
}

function chooseRequestId(context: Context): string {
  return context.req.header(requestIdHeader) ?? randomUUID();
}

function composeRunningResponse(): CallerResponse {
  return {
    status: CallerStatus.Ok,
    body: JSON.stringify({ outcome: 'running' }),
  };
}

function composeUnknownJobResponse(): CallerResponse {
  return {
    status: CallerStatus.NotFound,
    body: JSON.stringify({
      reason:
        'No dispatcher knows this job; its result may no longer be kept. Submit the job again with the same jobId to learn its outcome.',
    }),
  };
}
