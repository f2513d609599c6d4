/** Health checks and metrics over HTTP, for roles without another HTTP interface. */
import type { ConnectionError } from '@cranberryturn/errors';
import { type Metrics, metricsContentType } from '@cranberryturn/metrics';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';

import { type HttpListener, listenForHttp } from './adapters/http-listener.js';
import type { Intake } from './intake/intake.js';

const httpStatusOk = 200;
const httpStatusServiceUnavailable = 503;
const requestTimeoutMilliseconds: Milliseconds = 5_000;
const maximumConnections = 64;
const maximumBodyBytes = 1_024;

/** Address and data sources of the operations interface. */
export interface OperationsOptions {
  readonly address: NetworkAddress;
  readonly metrics: Metrics;
  readonly intake: Intake;
  /** Whether the role accepts work; must turn false at the beginning of a planned stop. */
  readonly isReady: () => boolean;
}

/** Serves `/healthz`, `/readyz` (503 while not ready) and `/metrics`. Fails when the port cannot be opened. */
export function serveOperations(
  options: OperationsOptions,
): ResultAsync<HttpListener, ConnectionError> {
  const app = new Hono();
  app.get('/healthz', context => context.json({ alive: true }));
  app.get('/readyz', context => {
    const ready = options.isReady();
    return context.json(
      { ready },
      ready ? httpStatusOk : httpStatusServiceUnavailable,
    );
  });
  app.get('/metrics', async context =>
    context.body(await options.metrics.expose(), httpStatusOk, {
      'content-type': metricsContentType,
    }),
  );
  return listenForHttp({
    app,
    address: options.address,
    bodyTimeoutMilliseconds: requestTimeoutMilliseconds,
    connections: maximumConnections,
    bodyBytes: () => maximumBodyBytes,
    intake: options.intake,
  });
}
