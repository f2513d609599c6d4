/** Routes of the administration API that order and list evacuations. */
import { hasBody } from '@cranberryturn/program';
import type { Hono } from 'hono';

import { AdministrationReplyKind } from './administration-calls.js';
import {
  type AdministrationContext,
  type AdministrationVariables,
  sendRefusal,
  sendReply,
} from './administration-responses.js';
import type { EvacuationService } from './order-evacuations.js';

const listPath = '/v1/admin/evacuations';
const orderPath = '/v1/admin/evacuations/:dataCentre';

/** Adds the routes. Without a service they say how to enable evacuations. */
export function addEvacuationRoutes(
  app: Hono<AdministrationVariables>,
  evacuations: EvacuationService | undefined,
): void {
  if (evacuations === undefined) {
    app.all(listPath, refuseDisabled);
    app.all(orderPath, refuseDisabled);
    return;
  }
  app.get(listPath, async context =>
    sendReply(context, await evacuations.list()),
  );
  app.on(['POST', 'DELETE'], orderPath, async context => {
    // Read first: the signal reports a connection that closes from now on.
    const { signal } = context.req.raw;
    if (await hasBody(context.req.raw)) {
      return sendRefusal(context, 400, {
        error: 'The body must be empty. Nothing was changed.',
      });
    }
    const reply = await evacuations.order({
      dataCentre: context.req.param('dataCentre'),
      isEvacuated: context.req.method === 'POST',
      callerLeft: signal,
    });
    return reply.kind === AdministrationReplyKind.Invalid
      ? sendRefusal(context, 400, reply.refusal)
      : sendReply(context, reply);
  });
  app.all(listPath, refuseMethod('GET'));
  app.all(orderPath, refuseMethod('POST, DELETE'));
}

function refuseDisabled(context: AdministrationContext): Response {
  return sendRefusal(context, 404, {
    error:
      'Evacuations are disabled. Name the data centres of this deployment as "dataCentres" in the settings of each control host; see docs/operators/evacuate-a-data-centre.md.',
  });
}

function refuseMethod(allowed: string) {
  return (context: AdministrationContext): Response => {
    context.header('Allow', allowed);
    return sendRefusal(context, 405, {
      error: `Only ${allowed} is served here. Nothing was changed.`,
    });
  };
}
