/** HTTP interface for callers. */
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
import { rethrowLater } from '@cranberryturn/timers';
import type { TeamName } from '@cranberryturn/types';
import { type Context, Hono } from 'hono';

import {
  type CallerRequestOptions,
  cancelJob,
  isBodyRead,
  showJob,
  submitJob,
  submitRequest,
} from './handle-caller-requests.js';
import {
  type CallerResponse,
  CallerStatus,
  composeRefusal,
  composeRetryAfter,
  composeUnexpectedFailure,
} from './responses.js';

/** A team of callers, with the digests of its bearer tokens. */
export interface CallerTeam {
  readonly team: TeamName;
  readonly tokenDigests: readonly string[];
}

/** Dependencies and limits of the HTTP interface. */
export interface ServeCallersOptions extends CallerRequestOptions {
  readonly teams: readonly CallerTeam[];
  readonly metrics: Metrics;
  /** Whether `/readyz` succeeds, so that the load balancer routes callers to this dispatcher. */
  readonly isReady: () => boolean;
}

/**
 * Builds the HTTP interface for callers. Requests under `/v1/` need a bearer token of a
 * team; `/healthz`, `/readyz` and `/metrics` do not.
 */
export function serveCallers(options: ServeCallersOptions): Hono {
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
  app.post('/v1/services/:service/jobs', context =>
    respondForTeam(context, findTeam, options.metrics, team =>
      submitJob(options, context, team),
    ),
  );
  app.post('/v1/services/:service/requests', context =>
    respondForTeam(context, findTeam, options.metrics, team =>
      submitRequest(options, context, team),
    ),
  );
  app.get('/v1/services/:service/jobs/:jobId', context =>
    respondForTeam(context, findTeam, options.metrics, team =>
      showJob(options, context, team),
    ),
  );
  app.delete('/v1/services/:service/jobs/:jobId', context =>
    respondForTeam(context, findTeam, options.metrics, team =>
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
  app.onError((error, context) => {
    if (!isBodyRead(context)) {
      return send(context, composeUnreadableBodyResponse(error.message));
    }
    rethrowLater(error);
    return send(context, composeUnexpectedFailure());
  });
  return app;
}

async function respondForTeam(
  context: Context,
  findTeam: TokenFinder<CallerTeam>,
  metrics: Metrics,
  serve: (team: TeamName) => Promise<CallerResponse>,
): Promise<Response> {
  const token = readBearerToken(context.req.header('authorization'));
  const caller = findTeam(token);
  if (caller !== undefined) return send(context, await serve(caller.team));
  metrics.count(Counter.TokensRefused);
  return send(
    context,
    composeRefusal(
      CallerStatus.Unauthorized,
      'The bearer token is missing or unknown; send "Authorization: Bearer" with a token of your team.',
    ),
  );
}

function composeUnreadableBodyResponse(message: string): CallerResponse {
  return composeRefusal(
    CallerStatus.BadRequest,
    `The body could not be read: ${message}`,
  );
}

function send(context: Context, response: CallerResponse): Response {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
  };
  if (response.retryAfterMilliseconds !== undefined) {
    headers['retry-after'] = composeRetryAfter(response.retryAfterMilliseconds);
  }
  return context.body(response.body, response.status, headers);
}
