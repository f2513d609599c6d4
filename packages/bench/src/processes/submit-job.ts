/** Submits jobs to dispatcher processes over HTTP, and reads replies and start counts. */
import { JobOutcome, Started } from '@cranberryturn/types';
import { request } from 'undici';

import type { ProcessSystem } from './start-process-system.js';
import { processService, getUrl } from './start-process-system.js';
import type { StartedProcess } from './start-process.js';

/** A job as a caller sends it over HTTP. */
export interface SentJob {
  readonly jobId: string;
  readonly tasks: readonly {
    readonly taskId: string;
    readonly payload: object;
  }[];
}

/** Reply to a submission. */
export interface SentReply {
  /** HTTP status; 0 when no complete response arrived. */
  readonly status: number;
  /** Body of the response, or the error when there is none. */
  readonly text: string;
}

const brokenStatus = 0;
const okStatus = 200;

/** Composes a job whose tasks all run equally long. */
export function composeJob(
  jobId: string,
  tasks: number,
  runMilliseconds: number,
): SentJob {
  return {
    jobId,
    tasks: Array.from({ length: tasks }, (_, index) => ({
      taskId: `task-${String(index)}`,
      payload: { runMilliseconds },
    })),
  };
}

/** Submits a job to one dispatcher. Never rejects. */
export async function submitJob(
  { token }: ProcessSystem,
  dispatcher: StartedProcess,
  job: SentJob,
  signal?: AbortSignal,
): Promise<SentReply> {
  const url = `${getUrl(dispatcher, 'callers')}/v1/services/${processService}/jobs`;
  try {
    const response = await request(url, {
      method: 'POST',
      headers: { authorization: `Bearer ${token}`, connection: 'close' },
      headersTimeout: 0,
      bodyTimeout: 0,
      body: JSON.stringify(job),
      signal: signal ?? null,
    });
    const text = await response.body.text();
    return { status: response.statusCode, text };
  } catch (cause) {
    return { status: brokenStatus, text: String(cause) };
  }
}

/** Returns whether a reply contains the answer to every task, in the order of the job. */
export function isCompleteReply(
  job: SentJob,
  { status, text }: SentReply,
): boolean {
  if (status !== okStatus) return false;
  const { outcome, answers } = JSON.parse(text) as {
    readonly outcome: JobOutcome;
    readonly answers: readonly { readonly taskId: string }[];
  };
  const given = answers.map(one => one.taskId).join();
  const asked = job.tasks.map(one => one.taskId).join();
  return outcome === JobOutcome.Complete && given === asked;
}

/** Parses whether a reply says that the job was started; undefined when the body is not JSON. */
export function parseStarted({ text }: SentReply): Started | undefined {
  try {
    return (JSON.parse(text) as { readonly started?: Started }).started;
  } catch {
    return undefined;
  }
}

/** Finds the tasks for which the targets counted more than one start. */
export function findDoubleStarts({ targets }: ProcessSystem): string[] {
  const starts = new Map<string, number>();
  for (const one of targets.flatMap(target => target.starts.list())) {
    const name = `${one.jobId} ${one.taskId}`;
    starts.set(name, (starts.get(name) ?? 0) + one.starts);
  }
  return [...starts].filter(([, count]) => count > 1).map(([name]) => name);
}

/** Counts the starts on all targets. */
export function countStarts({ targets }: ProcessSystem): number {
  return targets.reduce((sum, target) => sum + target.starts.total(), 0);
}
