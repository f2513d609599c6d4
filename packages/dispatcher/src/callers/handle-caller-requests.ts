/** Handles the HTTP requests of callers that submit, read and cancel jobs. */
import { randomUUID } from 'node:crypto';

import type {
  ClusterConfiguration,
  JobId,
  JobRequest,
  JobResult,
  TeamName,
} from '@cranberryturn/types';
import { holdForWork } from '@cranberryturn/program';
import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';
import { err, type Result } from 'neverthrow';

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

/** Dependencies of the handlers. */
export interface CallerRequestOptions {
  /** Maximum size of a body. */
  readonly bodyBytes: number;
  readonly jobs: JobService;
  readonly configuration: () => ClusterConfiguration;
  /** Finds the result of a job at the other dispatchers, and cancels the job there on request. */
  readonly findElsewhere: (
    jobId: JobId,
    cancel: boolean,
  ) => Promise<JobResult | undefined>;
}

const isBodyReadKey = 'isBodyRead';

/**
 * Parses the body of a submission, or composes its refusal. The text must not be held while the job is in progress. The
 * listener has received the body already.
 */
async function receiveBody(
  { bodyBytes }: CallerRequestOptions,
  context: Context,
  parse: (text: string) => Result<JobRequest, string>,
): Promise<Result<JobRequest, CallerResponse>> {
  // Hono would keep the text that its own method returns.
  const text = await context.req.raw.text();
  context.set(isBodyReadKey, true);
  // From here on, the table of jobs counts it.
  holdForWork((context.env as Partial<HttpBindings> | undefined)?.incoming, 0);
  if (Buffer.byteLength(text) > bodyBytes)
    return err(composeTooLargeResponse(bodyBytes));
  return parse(text).mapErr(reason =>
    composeRefusal(CallerStatus.BadRequest, reason),
  );
}

/** Whether the body arrived whole, after which an error does not mean that nothing was started. */
export function isBodyRead(context: Context): boolean {
  return context.get(isBodyReadKey) === true;
}

/** Submits a job and responds with its result. */
export async function submitJob(
  options: CallerRequestOptions,
  context: Context,
  team: TeamName,
): Promise<CallerResponse> {
  const job = await receiveBody(options, context, text =>
    parseJob(text, composeSubmissionContext(options, context, team)),
  );
  if (job.isErr()) return job.error;
  const outcome = await options.jobs.submitJob(
    job.value,
    chooseRequestId(context),
  );
  return composeSubmissionResponse(outcome, job.value.jobId);
}

/**
 * Submits a job with one task. Without an idempotency key the request is idempotent
 * and may be retried; with a key it runs at most once, and the key identifies the job.
 */
export async function submitRequest(
  options: CallerRequestOptions,
  context: Context,
  team: TeamName,
): Promise<CallerResponse> {
  const requestId = chooseRequestId(context);
  const key = context.req.header(idempotencyKeyHeader);
  const isIdempotent = key === undefined;
  const callerJobId = isIdempotent ? randomUUID() : `key:${key}`;
  const request = await receiveBody(options, context, text =>
    parseRequest(
      text,
      composeSubmissionContext(options, context, team),
      callerJobId,
      isIdempotent,
    ),
  );
  if (request.isErr()) return request.error;
  const outcome = isIdempotent
    ? await options.jobs.runRequest(request.value, requestId)
    : await options.jobs.submitJob(request.value, requestId);
  return composeSubmissionResponse(outcome, callerJobId);
}

/** Responds with the state of a job, whichever dispatcher runs it. */
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

/** Cancels a job, whichever dispatcher runs it, and responds with its result. */
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

function composeTooLargeResponse(bytes: number): CallerResponse {
  return composeRefusal(
    CallerStatus.TooLarge,
    `The body is larger than ${String(bytes)} bytes; split the job.`,
  );
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
