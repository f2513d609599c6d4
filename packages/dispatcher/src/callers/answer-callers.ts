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
  type CallerAnswer,
  CallerStatus,
  composeRefusal,
  composeResultAnswer,
  composeSubmissionAnswer,
} from './answers.js';
import { composeJobId } from './job-identifiers.js';
import {
  readJob,
  readRequest,
  type SubmissionContext,
} from './read-submission.js';

const defaultDeadlineMilliseconds = 30_000;
const requestIdHeader = 'x-request-id';
const idempotencyKeyHeader = 'idempotency-key';

/** What the answers are made from. */
export interface AnswerOptions {
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
  options: AnswerOptions,
  context: Context,
  team: TeamName,
): Promise<CallerAnswer> {
  const text = await context.req.text();
  const job = readJob(text, describeContext(options, context, team));
  if (job.isErr()) {
    return composeRefusal(CallerStatus.BadRequest, job.error);
  }
  const submission = await options.jobs.submitJob(
    job.value,
    chooseRequestId(context),
  );
  return composeSubmissionAnswer(submission, job.value.jobId);
}

/** Submits one request of a team. */
export async function submitRequest(
  options: AnswerOptions,
  context: Context,
  team: TeamName,
): Promise<CallerAnswer> {
  const text = await context.req.text();
  const requestId = chooseRequestId(context);
  const key = context.req.header(idempotencyKeyHeader);
  const isIdempotent = key === undefined;
  const callerJobId = isIdempotent ? randomUUID() : `key:${key}`;
  const read = readRequest(
    text,
    describeContext(options, context, team),
    callerJobId,
    isIdempotent,
  );
  if (read.isErr()) {
    return composeRefusal(CallerStatus.BadRequest, read.error);
  }
  const submission = isIdempotent
    ? await options.jobs.runRequest(read.value, requestId)
    : await options.jobs.submitJob(read.value, requestId);
  return composeSubmissionAnswer(submission, callerJobId);
}

/** Shows a job of a team, wherever it runs. */
export async function showJob(
  options: AnswerOptions,
  context: Context,
  team: TeamName,
): Promise<CallerAnswer> {
  const jobId = readJobId(context, team);
  const entry = options.jobs.find(jobId);
  if (entry?.result !== undefined) return composeResultAnswer(entry.result);
  if (entry !== undefined) return describeRunning();
  const elsewhere = await options.findElsewhere(jobId, false);
  return elsewhere === undefined
    ? describeUnknown()
    : composeResultAnswer(elsewhere);
}

/** Cancels a job of a team, wherever it runs. */
export async function cancelJob(
  options: AnswerOptions,
  context: Context,
  team: TeamName,
): Promise<CallerAnswer> {
  const jobId = readJobId(context, team);
  const result =
    (await options.jobs.cancelJob(jobId)) ??
    (await options.findElsewhere(jobId, true));
  return result === undefined ? describeUnknown() : composeResultAnswer(result);
}

function describeContext(
  options: AnswerOptions,
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

function describeRunning(): CallerAnswer {
  return {
    status: CallerStatus.Ok,
    body: JSON.stringify({ outcome: 'running' }),
  };
}

function describeUnknown(): CallerAnswer {
  return {
    status: CallerStatus.NotFound,
    body: JSON.stringify({
      reason:
        'No dispatcher knows this job; its result may no longer be kept. Submit the job again with the same jobId to learn its outcome.',
    }),
  };
}
