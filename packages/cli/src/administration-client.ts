/** Client of the administration API: tries the control hosts in turn until one gives a final response. */
import type {
  ConfirmView,
  EvacuationOrderView,
  EvacuationsView,
  HistoryView,
  PlanView,
  RefusalView,
  StatusView,
} from '@cranberryturn/configuration';
import {
  AuthenticationError,
  ConflictError,
  CranberryError,
  InvalidInputError,
  UnavailableError,
} from '@cranberryturn/errors';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  DataCentreName,
  Intent,
  Milliseconds,
} from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { request } from 'undici';

const roundDelayMilliseconds: Milliseconds = 300;
const attemptTimeoutMilliseconds: Milliseconds = 3_000;

/** Calls of the administration API. They fail with an `UnavailableError` when no host responds in time. */
export interface AdministrationClient {
  plan(intent: Intent): ResultAsync<PlanView, CranberryError>;
  /** Idempotent: a repeated confirm with the same request identifier returns its first outcome. */
  confirm(
    planId: string,
    requestId: string,
  ): ResultAsync<ConfirmView, CranberryError>;
  status(): ResultAsync<StatusView, CranberryError>;
  history(limit: number): ResultAsync<HistoryView, CranberryError>;
  /** Evacuates a data centre, or ends its evacuation. Idempotent. */
  orderEvacuation(
    dataCentre: DataCentreName,
    isEvacuated: boolean,
  ): ResultAsync<EvacuationOrderView, CranberryError>;
  evacuations(): ResultAsync<EvacuationsView, CranberryError>;
}

/** Hosts, token, timeout and clock of the client. */
export interface AdministrationClientOptions {
  /** Base URLs of the control hosts, tried in order. */
  readonly hosts: readonly string[];
  readonly token: string;
  /** Timeout of one call, including its retries. */
  readonly timeoutMilliseconds: Milliseconds;
  readonly timers: TimerService;
}

interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
}

enum ResponseKind {
  Final = 'final',
  /** The host could not be reached or cannot serve the call; another attempt may succeed. */
  Retryable = 'retryable',
}

type CallResponse<View> =
  | {
      readonly kind: ResponseKind.Final;
      readonly result: Result<View, CranberryError>;
    }
  | { readonly kind: ResponseKind.Retryable; readonly reason: string };

/** Creates a client; it opens connections only for calls. */
export function createAdministrationClient(
  options: AdministrationClientOptions,
): AdministrationClient {
  const get = <View>(path: string) =>
    new ResultAsync(callUntilFinal<View>(options, { method: 'GET', path }));
  const post = <View>(path: string, content: object) =>
    new ResultAsync(
      callUntilFinal<View>(options, {
        method: 'POST',
        path,
        body: JSON.stringify(content),
      }),
    );
  return {
    plan: intent => post('/v1/admin/plans', intent),
    confirm: (planId, requestId) =>
      post(`/v1/admin/plans/${encodeURIComponent(planId)}/confirm`, {
        requestId,
      }),
    status: () => get('/v1/admin/status'),
    history: limit => get(`/v1/admin/history?limit=${String(limit)}`),
    orderEvacuation: (dataCentre, isEvacuated) =>
      new ResultAsync(
        callUntilFinal(options, {
          method: isEvacuated ? 'POST' : 'DELETE',
          path: `/v1/admin/evacuations/${encodeURIComponent(dataCentre)}`,
        }),
      ),
    evacuations: () => get('/v1/admin/evacuations'),
  };
}

async function callUntilFinal<View>(
  options: AdministrationClientOptions,
  call: HttpCall,
): Promise<Result<View, CranberryError>> {
  const { hosts, timers, timeoutMilliseconds } = options;
  const deadline = timers.now() + timeoutMilliseconds;
  const reasons = new Map<string, string>();
  for (;;) {
    for (const host of hosts) {
      const response = await attemptCall<View>(options, host, call);
      if (response.kind === ResponseKind.Final) return response.result;
      reasons.set(host, response.reason);
      if (timers.now() >= deadline) return err(createUnavailableError(reasons));
    }
    if (timers.now() + roundDelayMilliseconds >= deadline) {
      return err(createUnavailableError(reasons));
    }
    await sleep(timers, roundDelayMilliseconds);
  }
}

async function attemptCall<View>(
  { token, timeoutMilliseconds }: AdministrationClientOptions,
  host: string,
  { method, path, body }: HttpCall,
): Promise<CallResponse<View>> {
  const limit = Math.min(timeoutMilliseconds, attemptTimeoutMilliseconds);
  try {
    const response = await request(new URL(path, host), {
      method,
      headers: {
        authorization: `Bearer ${token}`,
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      },
      ...(body === undefined ? {} : { body }),
      headersTimeout: limit,
      bodyTimeout: limit,
    });
    const content = await response.body.json();
    return interpretResponse<View>(response.statusCode, host, content);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return { kind: ResponseKind.Retryable, reason };
  }
}

function interpretResponse<View>(
  status: number,
  host: string,
  content: unknown,
): CallResponse<View> {
  if (status === 200) {
    return { kind: ResponseKind.Final, result: ok(content as View) };
  }
  const { error } = content as RefusalView;
  if (status === 503) return { kind: ResponseKind.Retryable, reason: error };
  return {
    kind: ResponseKind.Final,
    result: err(createCallError(status, error, host)),
  };
}

function createCallError(
  status: number,
  message: string,
  peer: string,
): CranberryError {
  const origin = { step: 'call administration', peer };
  switch (status) {
    case 401:
      return new AuthenticationError(message, origin);
    case 409:
      return new ConflictError(message, origin);
    case 400:
    case 404:
    case 413:
    case 422:
      return new InvalidInputError(message, origin);
    default:
      return new CranberryError(message, origin);
  }
}

function createUnavailableError(
  reasons: ReadonlyMap<string, string>,
): UnavailableError {
  const attempts = [...reasons].map(([host, reason]) => `  ${host}: ${reason}`);
  return new UnavailableError(
    `No control host gave a final response:\n${attempts.join('\n')}`,
    { step: 'call administration' },
  );
}
