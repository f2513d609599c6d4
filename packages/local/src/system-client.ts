/** Calls the HTTP interfaces of a local system, as a caller and as an operator. */
import { randomUUID } from 'node:crypto';

import type {
  ConfirmView,
  EvacuationOrderView,
  PlanView,
  StatusView,
} from '@cranberryturn/configuration';
import { InvalidInputError, RefusedError } from '@cranberryturn/errors';
import type { DataCentreName, Intent, JobOutcome } from '@cranberryturn/types';
import { request } from 'undici';

import {
  formatUrl,
  type LocalRole,
  type LocalSystem,
} from './start-local-system.js';

const okStatus = 200;

/** A job as a caller submits it. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly service: string;
  readonly taskIds: readonly string[];
}

/** The reply of a dispatcher to a submission. */
export interface JobReply {
  readonly status: number;
  readonly outcome?: JobOutcome | undefined;
  readonly reason?: string | undefined;
  readonly answers?:
    | readonly {
        readonly taskId: string;
        readonly answer: { readonly jobId: string; readonly taskId: string };
      }[]
    | undefined;
}

/** HTTP client for callers and operators of one local system. */
export interface SystemClient {
  /** Submits through one dispatcher and waits for the reply. */
  submitJob(dispatcher: LocalRole, job: SubmittedJob): Promise<JobReply>;
  planChange(intent: Intent): Promise<PlanView>;
  confirmPlan(planId: string): Promise<ConfirmView>;
  readStatus(): Promise<StatusView>;
  evacuate(dataCentre: DataCentreName): Promise<EvacuationOrderView>;
}

/**
 * Creates the client. Operator calls go to the first control replica.
 *
 * Operator calls throw RefusedError for every status other than 200.
 */
export function createSystemClient(system: LocalSystem): SystemClient {
  const administration = findUrl(system.controlReplicas[0], 'administration');
  const callAdministration = async (
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> => {
    const reply = await sendRequest(
      `${administration}/v1/admin/${path}`,
      method,
      system.tokens.operator,
      body,
    );
    if (reply.status === okStatus) return reply.body;
    throw new RefusedError(
      `Control answered ${String(reply.status)} to ${path}: ${JSON.stringify(reply.body)}`,
      { step: 'call administration', peer: 'control' },
    );
  };
  return {
    submitJob: async (dispatcher, job) => {
      const url = `${findUrl(dispatcher, 'callers')}/v1/services/${job.service}/jobs`;
      const reply = await sendRequest(url, 'POST', system.tokens.team, {
        jobId: job.jobId,
        tasks: job.taskIds.map(taskId => ({ taskId, payload: {} })),
      });
      return { ...(reply.body as object), status: reply.status };
    },
    planChange: async intent =>
      (await callAdministration('POST', 'plans', intent)) as PlanView,
    confirmPlan: async planId =>
      (await callAdministration(
        'POST',
        `plans/${encodeURIComponent(planId)}/confirm`,
        {
          requestId: randomUUID(),
        },
      )) as ConfirmView,
    readStatus: async () =>
      (await callAdministration('GET', 'status')) as StatusView,
    evacuate: async dataCentre =>
      (await callAdministration(
        'POST',
        `evacuations/${encodeURIComponent(dataCentre)}`,
      )) as EvacuationOrderView,
  };
}

function findUrl(role: LocalRole | undefined, purpose: string): string {
  const address = role?.addresses[purpose];
  if (address === undefined) {
    throw new InvalidInputError(`No role listens for ${purpose}.`, {
      step: 'find address',
    });
  }
  return formatUrl(address);
}

async function sendRequest(
  url: string,
  method: 'GET' | 'POST',
  token: string | undefined,
  body: unknown,
): Promise<{ readonly status: number; readonly body: unknown }> {
  const response = await request(url, {
    method,
    headers: {
      authorization: `Bearer ${token ?? ''}`,
      'content-type': 'application/json',
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: response.statusCode, body: await response.body.json() };
}
