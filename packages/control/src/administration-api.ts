/** The HTTP administration API for operators, with health checks and metrics. */
import {
  createTokenFinder,
  readBearerToken,
} from '@cranberryturn/authentication';
import { metricsContentType } from '@cranberryturn/metrics';
import { Hono, type MiddlewareHandler } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import * as z from 'zod';

import {
  type AdministrationCall,
  AdministrationMethod,
  type AdministrationReply,
} from './administration-calls.js';
import {
  type AdministrationContext,
  type AdministrationVariables,
  type Operator,
  sendRefusal,
  sendReply,
} from './administration-responses.js';
import { addEvacuationRoutes } from './evacuation-routes.js';
import type { EvacuationService } from './order-evacuations.js';

export const maximumBodyBytes = 65_536;
const maximumHistoryChanges = 1_000;
const defaultHistoryChanges = 50;

/** Dependencies of the API. */
export interface AdministrationApiOptions {
  readonly operators: readonly Operator[];
  readonly administer: (
    call: AdministrationCall,
  ) => Promise<AdministrationReply>;
  /** Undefined while evacuations are disabled. */
  readonly evacuations: EvacuationService | undefined;
  /** False once the replica has failed; answers `/healthz`. */
  readonly isAlive: () => boolean;
  /** True while the replica serves and a leader with a majority is proved; answers `/readyz`. */
  readonly isReady: () => boolean;
  readonly exposeMetrics: () => Promise<string>;
  /** Called for each request without a valid token. */
  readonly handleRefusedToken: () => void;
}

const confirmSchema = z.strictObject({
  requestId: z.string().min(8).max(128),
});

const historySchema = z.coerce
  .number()
  .int()
  .min(1)
  .max(maximumHistoryChanges)
  .default(defaultHistoryChanges);

/** Creates the API. All routes under `/v1/admin` require the bearer token of an operator. */
export function createAdministrationApi(
  options: AdministrationApiOptions,
): Hono<AdministrationVariables> {
  const app = new Hono<AdministrationVariables>();
  app.get('/healthz', context => sendCheckResult(context, options.isAlive()));
  app.get('/readyz', context => sendCheckResult(context, options.isReady()));
  app.get('/metrics', async context =>
    context.body(await options.exposeMetrics(), 200, {
      'content-type': metricsContentType,
    }),
  );
  app.use('/v1/admin/*', authenticateOperator(options));
  app.use(
    '/v1/admin/*',
    bodyLimit({
      maxSize: maximumBodyBytes,
      onError: context =>
        sendRefusal(context, 413, {
          error: `The body is larger than ${String(maximumBodyBytes)} bytes.`,
        }),
    }),
  );
  addPlanRoutes(app, options);
  addReadRoutes(app, options);
  addEvacuationRoutes(app, options.evacuations);
  app.notFound(context =>
    sendRefusal(context, 404, {
      error: `There is no ${context.req.method} ${context.req.path}; see docs/operators.`,
    }),
  );
  app.onError((error, context) =>
    sendRefusal(context, 500, {
      error: `The call failed: ${error.message}. See the log of this control host.`,
    }),
  );
  return app;
}

function addPlanRoutes(
  app: Hono<AdministrationVariables>,
  { administer }: AdministrationApiOptions,
): void {
  app.post('/v1/admin/plans', async context => {
    const input = await readJson(context);
    const reply = await administer({
      method: AdministrationMethod.Plan,
      input,
    });
    return sendReply(context, reply);
  });
  app.post('/v1/admin/plans/:planId/confirm', async context => {
    const body = confirmSchema.safeParse(await readJson(context));
    if (!body.success) {
      return sendRefusal(context, 400, {
        error:
          'The body must be {"requestId": "..."} with 8 to 128 characters, chosen by the caller and the same in each retry. Nothing was changed.',
      });
    }
    const reply = await administer({
      method: AdministrationMethod.Confirm,
      request: {
        planId: context.req.param('planId'),
        requestId: body.data.requestId,
        operator: context.get('operator').name,
      },
    });
    return sendReply(context, reply);
  });
}

function addReadRoutes(
  app: Hono<AdministrationVariables>,
  { administer }: AdministrationApiOptions,
): void {
  app.get('/v1/admin/status', async context =>
    sendReply(
      context,
      await administer({ method: AdministrationMethod.Status }),
    ),
  );
  app.get('/v1/admin/history', async context => {
    const limit = historySchema.safeParse(context.req.query('limit'));
    if (!limit.success) {
      return sendRefusal(context, 400, {
        error: `"limit" must be a whole number from 1 to ${String(maximumHistoryChanges)}.`,
      });
    }
    const reply = await administer({
      method: AdministrationMethod.History,
      limit: limit.data,
    });
    return sendReply(context, reply);
  });
}

function authenticateOperator(
  options: AdministrationApiOptions,
): MiddlewareHandler<AdministrationVariables> {
  const findOperator = createTokenFinder(options.operators);
  return async (context, next) => {
    const token = readBearerToken(context.req.header('authorization'));
    const operator = findOperator(token);
    if (operator === undefined) {
      options.handleRefusedToken();
      return sendRefusal(context, 401, {
        error:
          'The Authorization header must be "Bearer" followed by the token of an operator; create one with `cranberryctl token create` and add its digest to "operators" in the settings of each control host.',
      });
    }
    context.set('operator', operator);
    await next();
    return undefined;
  };
}

async function readJson(context: AdministrationContext): Promise<unknown> {
  try {
    return await context.req.json<unknown>();
  } catch {
    return undefined;
  }
}

function sendCheckResult(
  context: AdministrationContext,
  hasPassed: boolean,
): Response {
  return hasPassed ? context.text('ok', 200) : context.text('no', 503);
}
