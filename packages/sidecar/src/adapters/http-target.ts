/** HTTP client that runs attempts on a target. */
import {
  type AttemptStart,
  type JsonText,
  maximumAnswerBytes,
  type Milliseconds,
} from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { Pool } from 'undici';

import {
  type TargetFailure,
  TargetFailureKind,
  type TargetPort,
} from '../ports/target.js';

/** Connection settings of the target client. */
export interface HttpTargetOptions {
  /** Base address, for example `http://127.0.0.1:8080`. */
  readonly url: string;
  /** Maximum number of connections in the pool. */
  readonly connections: number;
  /** Limit for opening a connection; 1,000 ms by default. */
  readonly connectTimeoutMilliseconds?: Milliseconds | undefined;
}

const defaultConnectTimeoutMilliseconds: Milliseconds = 1_000;
/** Errors that occur before any byte of the request reaches the target. */
const unreachableErrorCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const okStatus = 200;

/**
 * Creates the HTTP implementation of `TargetPort`. An attempt has no timeout of
 * its own: the caller aborts its signal.
 */
export function createHttpTarget(options: HttpTargetOptions): TargetPort {
  const pool = new Pool(options.url, {
    connections: options.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {
      timeout:
        options.connectTimeoutMilliseconds ?? defaultConnectTimeoutMilliseconds,
    },
  });
  return {
    runAttempt: (attempt, signal) =>
      new ResultAsync(runAttempt(pool, attempt, signal)),
    close: () => pool.close(),
  };
}

async function runAttempt(
  pool: Pool,
  attempt: AttemptStart,
  signal: AbortSignal,
): Promise<Result<JsonText, TargetFailure>> {
  try {
    const response = await pool.request({
      method: 'POST',
      path: '/tasks',
      headers: composeHeaders(attempt),
      body: attempt.payload,
      signal,
    });
    const text = await response.body.text();
    return checkAnswer(response.statusCode, text);
  } catch (cause) {
    return err(describeFailure(cause));
  }
}

function composeHeaders(attempt: AttemptStart): Record<string, string> {
  return {
    'content-type': 'application/json',
    'cranberry-job-id': encodeURIComponent(attempt.jobId),
    'cranberry-task-id': encodeURIComponent(attempt.taskId),
    'cranberry-attempt': String(attempt.attempt),
    'cranberry-deadline-milliseconds': String(
      Math.floor(attempt.remainingMilliseconds),
    ),
  };
}

function checkAnswer(
  status: number,
  text: string,
): Result<JsonText, TargetFailure> {
  if (status !== okStatus) {
    return failTask(`The target answered with status ${String(status)}.`);
  }
  if (Buffer.byteLength(text) > maximumAnswerBytes) {
    return failTask(
      `The answer is larger than ${String(maximumAnswerBytes)} bytes.`,
    );
  }
  if (!isJson(text)) return failTask('The answer of the target is not JSON.');
  return ok(text);
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

function failTask(reason: string): Result<JsonText, TargetFailure> {
  return err({ kind: TargetFailureKind.Failed, reason });
}

function describeFailure(cause: unknown): TargetFailure {
  const code = (cause as { code?: string }).code ?? '';
  if (unreachableErrorCodes.has(code)) {
    return {
      kind: TargetFailureKind.NotReached,
      reason: `The target is not reachable (${code}).`,
    };
  }
  const message = cause instanceof Error ? cause.message : String(cause);
  return {
    kind: TargetFailureKind.Failed,
    reason: `The call to the target ended without an answer: ${message}`,
  };
}
