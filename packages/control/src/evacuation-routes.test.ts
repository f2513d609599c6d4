import { Hono } from 'hono';
import test from 'ava';

import {
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { AdministrationVariables } from './administration-responses.js';
import { addEvacuationRoutes } from './evacuation-routes.js';

const path = '/v1/admin/evacuations/east';

/** Builds the routes; returns the statuses of the given requests and the number of orders. */
async function request(
  reply: AdministrationReply,
  ...requests: readonly (readonly [string, RequestInit])[]
) {
  const app = new Hono<AdministrationVariables>();
  let orders = 0;
  addEvacuationRoutes(app, {
    order: () => {
      orders += 1;
      return Promise.resolve(reply);
    },
    list: () => Promise.resolve(reply),
  });
  const statuses: number[] = [];
  for (const [url, init] of requests) {
    statuses.push((await app.request(url, init)).status);
  }
  return { statuses, orders };
}

test('a body or another method changes nothing', async t => {
  const view = { version: 1, evacuations: [], changed: true };
  const answered = await request(
    { kind: AdministrationReplyKind.Done, view },
    [path, { method: 'POST', body: '{}' }],
    [path, { method: 'DELETE', body: 'x' }],
    [path, { method: 'PUT' }],
    [path, { method: 'GET' }],
    ['/v1/admin/evacuations', { method: 'POST' }],
  );
  t.deepEqual(answered, { statuses: [400, 400, 405, 405, 405], orders: 0 });
});

test('an order is answered with 200, 400 for an unknown data centre, or 503', async t => {
  const view = { version: 1, evacuations: [], changed: true };
  const refusal = { error: 'refused' };
  const order = [path, { method: 'POST' }] as const;
  const replies: readonly (readonly [AdministrationReply, number])[] = [
    [{ kind: AdministrationReplyKind.Done, view }, 200],
    [{ kind: AdministrationReplyKind.Invalid, refusal }, 400],
    [{ kind: AdministrationReplyKind.Unavailable, refusal }, 503],
  ];
  for (const [reply, status] of replies) {
    t.deepEqual((await request(reply, order)).statuses, [status]);
  }
});
