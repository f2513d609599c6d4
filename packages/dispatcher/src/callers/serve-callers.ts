/** The HTTP interface for callers. */
import { randomUUID } from 'node:crypto';

import {
  createTokenFinder,
  readBearerToken,
  type TokenFinder,
} from '@cranberryturn/authentication';
import {
  Counter,
  type Metrics,
  metricsContentType,
} from '@cranberryturn/metrics';
import type {
  ClusterConfiguration,
  JobId,
  JobResult,
  TeamName,
} from '@cranberryturn/types';
import { type Context, Hono } from 'hono';

import type { JobService } from '../job-service.js';
import {
  type CallerAnswer,
  CallerStatus,
  composeRefusal,
  composeResultAnswer,
  composeRetryAfter,
  composeSubmissionAnswer,
} from './answers.js';
import { composeJobId } from './job-identifiers.js';
import { limitBody } from './limit-body.js';
import {
  readJob,
  readRequest,
  type SubmissionContext,
} from './read-submission.js';

const defaultDeadlineMilliseconds = 30_000;
const requestIdHeader = 'x-request-id';
const idempotencyKeyHeader = 'idempotency-key';

/** A team with the digests of its tokens. */
export interface CallerTeam {
  readonly team: TeamName;
  readonly tokenDigests: readonly string[];
}

/** What the interface is built from. */
export interface CallersOptions {
  readonly jobs: JobService;
  readonly teams: readonly CallerTeam[];
  readonly metrics: Metrics;
  readonly bodyBytes: number;
  readonly configuration: () => ClusterConfiguration;
  /** Looks for a job at the other dispatchers. */
  readonly findElsewhere: (
    jobId: JobId,
    cancel: boolean,
  ) => Promise<JobResult | undefined>;
  /** Whether the balancer should send callers here. */
  readonly isReady: () => boolean;
}

/** Builds the HTTP interface for callers. */
export function serveCallers(options: CallersOptions): Hono {
  const app = new Hono();
  const findTeam = createTokenFinder(options.teams);
  app.get('/healthz', context => context.json({ alive: true }));
  app.get('/readyz', context => {
    const ready = options.isReady();
    return context.json(
      { ready },
      ready ? CallerStatus.Ok : CallerStatus.Unavailable,
    );
  });
  app.get('/metrics', async context =>
    context.body(await options.metrics.expose(), CallerStatus.Ok, {
      'content-type': metricsContentType,
    }),
  );
  app.use(
    '/v1/*',
    limitBody(options.bodyBytes, context =>
      send(context, describeTooLarge(options.bodyBytes)),
    ),
  );
  app.post('/v1/services/:service/jobs', context =>
    withTeam(context, findTeam, options.metrics, team =>
      submitJob(options, context, team),
    ),
  );
  app.post('/v1/services/:service/requests', context =>
    withTeam(context, findTeam, options.metrics, team =>
      submitRequest(options, context, team),
    ),
  );
  app.get('/v1/services/:service/jobs/:jobId', context =>
    withTeam(context, findTeam, options.metrics, team =>
      showJob(options, context, team),
    ),
  );
  app.delete('/v1/services/:service/jobs/:jobId', context =>
    withTeam(context, findTeam, options.metrics, team =>
      cancelJob(options, context, team),
    ),
  );
  app.notFound(context =>
    send(
      context,
      composeRefusal(
        CallerStatus.NotFound,
        `There is no ${context.req.method} ${context.req.path}; see docs/CALLERS.md.`,
      ),
    ),
  );
  app.onError((error, context) =>
    send(context, describeBodyFault(error.message)),
  );
  return app;
}

async function withTeam(
  context: Context,
  findTeam: TokenFinder<CallerTeam>,
  metrics: Metrics,
  serve: (team: TeamName) => Promise<CallerAnswer>,
): Promise<Response> {
  const token = readBearerToken(context.req.header('authorization'));
  const holder = findTeam(token);
  if (holder !== undefined) return send(context, await serve(holder.team));
  metrics.count(Counter.TokensRefused);
  return send(
    context,
    composeRefusal(
      CallerStatus.Unauthorized,
      'The bearer token is missing or not known; send "Authorization: Bearer" with a token of your team.',
    ),
  );
}

async function submitJob(
  options: CallersOptions,
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

async function submitRequest(
  options: CallersOptions,
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

async function showJob(
  options: CallersOptions,
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

async function cancelJob(
  options: CallersOptions,
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
  options: CallersOptions,
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

function describeTooLarge(bytes: number): CallerAnswer {
  return composeRefusal(
    CallerStatus.TooLarge,
    `The body is larger than ${String(bytes)} bytes; split the job.`,
  );
}

function describeBodyFault(message: string): CallerAnswer {
  return composeRefusal(
    CallerStatus.BadRequest,
    `The body could not be read: ${message}`,
  );
}

function send(context: Context, answer: CallerAnswer): Response {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
  };
  if (answer.retryAfterMilliseconds !== undefined) {
    headers['retry-after'] = composeRetryAfter(answer.retryAfterMilliseconds);
  }
  return context.body(answer.body, answer.status, headers);
}
