/** The HTTP interface for callers. */
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
import type { TeamName } from '@cranberryturn/types';
import { type Context, Hono } from 'hono';

import {
  type AnswerOptions,
  cancelJob,
  showJob,
  submitJob,
  submitRequest,
} from './answer-callers.js';
import {
  type CallerAnswer,
  CallerStatus,
  composeRefusal,
  composeRetryAfter,
} from './answers.js';
import { limitBody } from './limit-body.js';

/** A team with the digests of its tokens. */
export interface CallerTeam {
  readonly team: TeamName;
  readonly tokenDigests: readonly string[];
}

/** What the interface is built from. */
export interface CallersOptions extends AnswerOptions {
  readonly teams: readonly CallerTeam[];
  readonly metrics: Metrics;
  readonly bodyBytes: number;
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
