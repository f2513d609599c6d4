/** Context and responses of the routes of the administration API. */
import type {
  HistoryView,
  RefusalView,
  StatusView,
} from '@cranberryturn/configuration';
import type { Context } from 'hono';

import {
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';

const retryAfterSeconds = '1';

/** An operator and the digests of the operator's tokens. */
export interface Operator {
  readonly name: string;
  readonly tokenDigests: readonly string[];
}

/** Context variables of an authenticated request. */
export interface AdministrationVariables {
  Variables: { operator: Operator };
}

/** Context of an authenticated request. */
export type AdministrationContext = Context<AdministrationVariables>;

/** Answers a call with the reply of control. */
export function sendReply(
  context: AdministrationContext,
  reply: AdministrationReply,
): Response {
  switch (reply.kind) {
    case AdministrationReplyKind.Done:
      return context.json(reply.view as StatusView | HistoryView, 200);
    case AdministrationReplyKind.Conflict:
      return sendRefusal(context, 409, reply.refusal);
    case AdministrationReplyKind.Invalid:
      return sendRefusal(context, 422, reply.refusal);
    case AdministrationReplyKind.Unavailable:
      context.header('Retry-After', retryAfterSeconds);
      return sendRefusal(context, 503, reply.refusal);
  }
}

/** Answers a request with an error. */
export function sendRefusal(
  context: Context,
  status: 400 | 401 | 404 | 405 | 409 | 413 | 422 | 500 | 503,
  refusal: RefusalView,
): Response {
  return context.json(refusal, status);
}
