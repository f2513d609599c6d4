/** Submits jobs to dispatchers over HTTP, in rotation like the load balancer of a platform. */
import { JobOutcome, Started, type TeamName } from '@cranberryturn/types';
import { Agent } from 'undici';
import * as z from 'zod';

import {
  type JobClient,
  SubmissionOutcome,
  type SubmissionReply,
} from './job-client.js';
import type { PlannedJob } from './plan-load.js';

/** Addresses and credentials of the client. */
export interface HttpJobClientOptions {
  /** Base URLs of the dispatchers. */
  readonly urls: readonly string[];
  /** Returns the bearer token of a team. */
  readonly getToken: (team: TeamName) => string;
}

const replySchema = z.object({
  outcome: z.enum(JobOutcome).optional(),
  started: z.enum(Started).optional(),
  reason: z.string().optional(),
  answers: z
    .array(
      z.object({
        taskId: z.string(),
        answer: z.object({ jobId: z.string(), taskId: z.string() }),
      }),
    )
    .default([]),
});
const okStatus = 200;
const refusalStatuses = new Set([400, 401, 409, 413, 422, 429, 503]);
const brokenStatus = 0;
const brokenReply = { outcome: SubmissionOutcome.Broken, answers: [] };

/** Creates an HTTP client without timeouts: the dispatcher applies the deadline of each job. */
export function createHttpJobClient(options: HttpJobClientOptions): JobClient {
  const agent = new Agent({
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let position = 0;

  const nextUrl = (): string => {
    position = (position + 1) % options.urls.length;
    return options.urls[position] ?? '';
  };

  const submitJob = async (job: PlannedJob): Promise<SubmissionReply> => {
    try {
      const response = await agent.request({
        origin: nextUrl(),
        path: `/v1/services/${job.service}/jobs`,
        method: 'POST',
        headers: composeHeaders(options, job),
        body: JSON.stringify(composeBody(job)),
      });
      const text = await response.body.text();
      return readReply(response.statusCode, text);
    } catch (cause) {
      return { ...brokenReply, status: brokenStatus, reason: String(cause) };
    }
  };

  const cancelJob = async (job: PlannedJob): Promise<void> => {
    try {
      const response = await agent.request({
        origin: nextUrl(),
        path: `/v1/services/${job.service}/jobs/${job.jobId}`,
        method: 'DELETE',
        headers: composeHeaders(options, job),
      });
      await response.body.dump();
    } catch {
      // The reply to the submission reports how the job ended.
    }
  };

  return { submitJob, cancelJob, close: () => agent.destroy() };
}

function composeHeaders(
  options: HttpJobClientOptions,
  job: PlannedJob,
): Record<string, string> {
  return {
    'content-type': 'application/json',
    authorization: `Bearer ${options.getToken(job.team)}`,
  };
}

/** Composes the request body of a planned job. */
export function composeBody(job: PlannedJob): unknown {
  return {
    jobId: job.jobId,
    idempotent: job.idempotent,
    deadlineMilliseconds: job.deadlineMilliseconds,
    tasks: job.tasks.map(task => ({
      taskId: task.taskId,
      payload: {
        runMilliseconds: task.runMilliseconds,
        answerBytes: task.answerBytes,
      },
      declared: task.declared,
    })),
  };
}

/** Parses the reply of a dispatcher; an unreadable body gives the outcome `Broken`. */
export function readReply(status: number, text: string): SubmissionReply {
  const parsed = replySchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return { ...brokenReply, status, reason: parsed.error.message };
  }
  const { outcome, started, reason, answers } = parsed.data;
  return {
    outcome: classifyOutcome(status, outcome),
    status,
    jobOutcome: outcome,
    started,
    reason,
    answers: answers.map(({ taskId, answer }) => ({
      taskId,
      echoedJobId: answer.jobId,
      echoedTaskId: answer.taskId,
    })),
  };
}

function classifyOutcome(
  status: number,
  outcome: JobOutcome | undefined,
): SubmissionOutcome {
  if (status === okStatus && outcome === JobOutcome.Complete) {
    return SubmissionOutcome.Complete;
  }
  return refusalStatuses.has(status) || outcome === undefined
    ? SubmissionOutcome.Refused
    : SubmissionOutcome.Failed;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
