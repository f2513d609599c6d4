/** Clients of the platform: they submit jobs that needn't be kept, and cancel them. */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { bounds, queueHost, queuePrefix } from './deployment.mjs';
import { call } from './http.mjs';

export function createJobId() {
  return randomBytes(8).toString('hex');
}

/** Sends a job of tasks that each take `work` milliseconds to one dispatcher. Resolves with the status; undefined without one. */
export async function submit(
  front,
  { jobId, work, tasks = 1, deadline, estimate = work },
  record,
) {
  record.write(`POST ${jobId} to frontend ${front.number}`, {
    work,
    tasks,
    deadline,
  });
  const reply = await call({
    host: front.host,
    port: front.port,
    method: 'POST',
    path: `${queuePrefix}${jobId}`,
    headers: { host: queueHost, 'x-deadline-ms': String(deadline) },
    body: JSON.stringify({
      spec: String(work),
      phases: [{ count: tasks, cpu: 1000, mem_mb: 64, estimated_ms: estimate }],
      best_effort: true,
    }),
    timeout: deadline + 500,
  }).catch(error => ({ error }));
  record.write(
    `POST ${jobId} to frontend ${front.number} answered ${reply.status ?? reply.error.message}`,
    reply.text,
  );
  return reply.status;
}

/** Submits a job, and again `resend_ms` after no response, a broken connection, a 502 or a 504, each time to another dispatcher. */
export async function submitUntilAnswered(
  fronts,
  job,
  record,
  { tries = 3, first = 0 } = {},
) {
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const front = fronts[(first + attempt) % fronts.length];
    const status = await submit(front, job, record);
    if (status !== undefined && status !== 502 && status !== 504) return status;
    if (attempt + 1 < tries) await sleep(bounds.resend_ms);
  }
  return undefined;
}

export async function cancel(front, jobId, record) {
  record.write(`DELETE ${jobId} to frontend ${front.number}`);
  const reply = await call({
    host: front.host,
    port: front.port,
    method: 'DELETE',
    path: `${queuePrefix}${jobId}`,
    headers: { host: queueHost },
  }).catch(error => ({ error }));
  record.write(
    `DELETE ${jobId} answered ${reply.status ?? reply.error.message}`,
    reply.text,
  );
  return reply.status;
}
