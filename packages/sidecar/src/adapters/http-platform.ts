/** HTTP client for the platform of one worker. */
import { ConnectionError, RefusedError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, TargetId, WorkerUsage } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { Pool } from 'undici';

import type {
  PlatformError,
  PlatformLease,
  PlatformPort,
} from '../ports/platform.js';

/** Connection settings of the platform client. */
export interface HttpPlatformOptions {
  /** Base address, for example `http://127.0.0.1:9090`. */
  readonly url: string;
  /** Name of the worker on the platform. */
  readonly targetId: TargetId;
  /** Limit for one request including its response body. */
  readonly timeoutMilliseconds: Milliseconds;
  /** Maximum number of connections in the pool. */
  readonly connections: number;
  readonly timers: TimerService;
}

interface PlatformRequest {
  /** Operation named in errors. */
  readonly step: string;
  readonly method: 'GET' | 'POST';
  /** Path below `/workers/{targetId}`. */
  readonly path: string;
  readonly body?: object | undefined;
}

type ResponseFields = Readonly<Record<string, unknown>>;

const clientErrorStatus = 400;
const serverErrorStatus = 500;
const requestTimeoutStatus = 408;
const tooManyRequestsStatus = 429;

/**
 * Creates the HTTP implementation of `PlatformPort`. Requests that may succeed
 * later fail with `ConnectionError`, final refusals with `RefusedError`.
 */
export function createHttpPlatform(options: HttpPlatformOptions): PlatformPort {
  const pool = new Pool(options.url, {
    connections: options.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const sendToPlatform = (
    request: PlatformRequest,
  ): ResultAsync<unknown, PlatformError> =>
    new ResultAsync(sendRequest(pool, options, request));
  const postLeaseAction = (
    leaseId: string,
    name: string,
    body?: object,
  ): ResultAsync<unknown, PlatformError> =>
    sendToPlatform({
      step: `${name} lease`,
      method: 'POST',
      path: `/leases/${encodeURIComponent(leaseId)}/${name}`,
      body,
    });
  const performLeaseAction = (leaseId: string, name: string, body?: object) =>
    postLeaseAction(leaseId, name, body).map(() => undefined);

  return {
    startLease: ({ jobId, taskId, attempt, epoch }) =>
      sendToPlatform({
        step: 'start lease',
        method: 'POST',
        path: '/leases',
        body: { jobId, taskId, attempt, epoch },
      }).andThen(responseBody => parseLease(responseBody, options.url)),
    renewLease: leaseId =>
      postLeaseAction(leaseId, 'renew').andThen(responseBody =>
        parseLease(responseBody, options.url),
      ),
    endLease: leaseId => performLeaseAction(leaseId, 'end'),
    checkpointTask: leaseId => performLeaseAction(leaseId, 'checkpoint'),
    throttleTask: (leaseId, share) =>
      performLeaseAction(leaseId, 'throttle', { share }),
    stopTask: leaseId => performLeaseAction(leaseId, 'stop'),
    readUsage: () =>
      sendToPlatform({
        step: 'read usage',
        method: 'GET',
        path: '/usage',
      }).andThen(responseBody => parseUsage(responseBody, options.url)),
    close: () => pool.destroy(),
  };
}

async function sendRequest(
  pool: Pool,
  options: HttpPlatformOptions,
  request: PlatformRequest,
): Promise<Result<unknown, PlatformError>> {
  const { url, targetId, timers, timeoutMilliseconds } = options;
  const abort = new AbortController();
  const timeoutTimer = timers.after(timeoutMilliseconds, () => {
    abort.abort(
      new Error(`no answer within ${String(timeoutMilliseconds)} ms`),
    );
  });
  try {
    const response = await pool.request({
      method: request.method,
      path: `/workers/${encodeURIComponent(targetId)}${request.path}`,
      headers: { 'content-type': 'application/json' },
      body: request.body === undefined ? null : JSON.stringify(request.body),
      signal: abort.signal,
    });
    const text = await response.body.text();
    if (response.statusCode < clientErrorStatus) return ok(JSON.parse(text));
    return err(describeErrorStatus(request.step, url, response.statusCode));
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    return err(
      new ConnectionError(
        `The platform did not answer: ${message}. Check platform.url and the platform of this host.`,
        { step: request.step, peer: url },
        cause,
      ),
    );
  } finally {
    timeoutTimer.cancel();
  }
}

/**
 * Maps 5xx, 408 and 429 to `ConnectionError`, as a retry may succeed, and any
 * other error status to `RefusedError`.
 */
function describeErrorStatus(
  step: string,
  url: string,
  status: number,
): PlatformError {
  const message = `The platform answered with status ${String(status)}.`;
  const isTemporary =
    status >= serverErrorStatus ||
    status === requestTimeoutStatus ||
    status === tooManyRequestsStatus;
  return isTemporary
    ? new ConnectionError(message, { step, peer: url })
    : new RefusedError(message, { step, peer: url });
}

function parseLease(
  responseBody: unknown,
  url: string,
): Result<PlatformLease, PlatformError> {
  const { leaseId, expiresInMilliseconds } = asFields(responseBody);
  if (
    typeof leaseId !== 'string' ||
    !isNonNegativeNumber(expiresInMilliseconds)
  ) {
    return err(describeInvalidResponse('read lease', url));
  }
  return ok({ leaseId, expiresInMilliseconds });
}

function parseUsage(
  responseBody: unknown,
  url: string,
): Result<WorkerUsage, PlatformError> {
  const { ageMilliseconds, processors, memoryMebibytes, accelerators } =
    asFields(responseBody);
  if (
    !isNonNegativeNumber(ageMilliseconds) ||
    !isNonNegativeNumber(processors) ||
    !isNonNegativeNumber(memoryMebibytes) ||
    !isNonNegativeNumber(accelerators)
  ) {
    return err(describeInvalidResponse('read usage', url));
  }
  return ok({ ageMilliseconds, processors, memoryMebibytes, accelerators });
}

function asFields(responseBody: unknown): ResponseFields {
  return typeof responseBody === 'object' && responseBody !== null
    ? (responseBody as ResponseFields)
    : {};
}

function isNonNegativeNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function describeInvalidResponse(step: string, url: string): ConnectionError {
  return new ConnectionError(
    'The response of the platform lacks required fields or has invalid values. Check that the platform version is compatible.',
    { step, peer: url },
  );
}
