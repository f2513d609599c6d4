/** Calls the administration API: tries the control hosts in turn until one settles the call. */
import type {
  ConfirmView,
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
import type { Intent, Milliseconds } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { request } from 'undici';

const pauseBetweenRounds: Milliseconds = 300;
const attemptTimeout: Milliseconds = 3_000;

/** The API as a command uses it. */
export interface AdministrationClient {
  plan(intent: Intent): ResultAsync<PlanView, CranberryError>;
  /** Sent again with the same request identifier, a confirm gets its first outcome. */
  confirm(
    planId: string,
    requestId: string,
  ): ResultAsync<ConfirmView, CranberryError>;
  status(): ResultAsync<StatusView, CranberryError>;
  history(limit: number): ResultAsync<HistoryView, CranberryError>;
}

/** What the client needs. */
export interface AdministrationClientOptions {
  /** Base addresses of the control hosts, tried in order. */
  readonly hosts: readonly string[];
  readonly token: string;
  /** Longest time for one call with all its attempts. */
  readonly timeout: Milliseconds;
  readonly timers: TimerService;
}

interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

enum AnswerKind {
  Settled = 'settled',
  /** The host gave no final answer; another attempt may. */
  Open = 'open',
}

type Answer<View> =
  | {
      readonly kind: AnswerKind.Settled;
      readonly result: Result<View, CranberryError>;
    }
  | { readonly kind: AnswerKind.Open; readonly reason: string };

/** Creates the client. */
export function createAdministrationClient(
  options: AdministrationClientOptions,
): AdministrationClient {
  const get = <View>(path: string) =>
    new ResultAsync(settle<View>(options, { method: 'GET', path }));
  const post = <View>(path: string, content: object) =>
    new ResultAsync(
      settle<View>(options, {
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
  };
}

async function settle<View>(
  options: AdministrationClientOptions,
  call: HttpCall,
): Promise<Result<View, CranberryError>> {
  const { hosts, timers, timeout } = options;
  const expiresAt = timers.now() + timeout;
  const reasons = new Map<string, string>();
  for (;;) {
    for (const host of hosts) {
      const answer = await ask<View>(options, host, call);
      if (answer.kind === AnswerKind.Settled) return answer.result;
      reasons.set(host, answer.reason);
      if (timers.now() >= expiresAt) return err(describeSilence(reasons));
    }
    if (timers.now() + pauseBetweenRounds >= expiresAt) {
      return err(describeSilence(reasons));
    }
    await sleep(timers, pauseBetweenRounds);
  }
}

async function ask<View>(
  { token, timeout }: AdministrationClientOptions,
  host: string,
  { method, path, body }: HttpCall,
): Promise<Answer<View>> {
  const limit = Math.min(timeout, attemptTimeout);
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
    return readAnswer<View>(response.statusCode, host, content);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return { kind: AnswerKind.Open, reason };
  }
}

function readAnswer<View>(
  status: number,
  host: string,
  content: unknown,
): Answer<View> {
  if (status === 200) {
    return { kind: AnswerKind.Settled, result: ok(content as View) };
  }
  const { error } = content as RefusalView;
  if (status === 503) return { kind: AnswerKind.Open, reason: error };
  return {
    kind: AnswerKind.Settled,
    result: err(composeError(status, error, host)),
  };
}

function composeError(
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
    case 413:
    case 422:
      return new InvalidInputError(message, origin);
    default:
      return new CranberryError(message, origin);
  }
}

function describeSilence(
  reasons: ReadonlyMap<string, string>,
): UnavailableError {
  const list = [...reasons].map(([host, reason]) => `  ${host}: ${reason}`);
  return new UnavailableError(
    `No control host settled the call:\n${list.join('\n')}`,
    { step: 'call administration' },
  );
}
