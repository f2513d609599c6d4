/** Digests job bodies, to tell a resubmission from a different job with the same identifier. */
import { hash } from 'node:crypto';

import type { BodyDigest, JobRequest } from '@cranberryturn/types';

const digestLength = 32;

/**
 * Digests a job body without its deadline, identifier and team. Dispatchers of different
 * versions compare digests, so the digested text must not change.
 */
export function digestJobBody(job: JobRequest): BodyDigest {
  const tasks = job.tasks.map(task => [
    task.taskId,
    task.payload,
    task.declared?.processors ?? null,
    task.declared?.memoryMebibytes ?? null,
    task.declared?.accelerators ?? null,
    task.declared?.runMilliseconds ?? null,
  ]);
  const text = JSON.stringify([job.service, job.idempotent, tasks]);
  return hash('sha256', text, 'hex').slice(0, digestLength);
}
