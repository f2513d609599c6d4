/** Digest of a job body, which tells a resubmission from another job with the same identifier. */
import { createHash } from 'node:crypto';

import type { BodyDigest, JobRequest } from '@cranberryturn/types';

const digestLength = 32;

/** Digests everything that makes a submission the same: all but its deadline. */
export function digestJob(job: JobRequest): BodyDigest {
  const hash = createHash('sha256');
  const tasks = job.tasks.map(task => [
    task.taskId,
    task.payload,
    task.declared?.processors ?? null,
    task.declared?.memoryMebibytes ?? null,
    task.declared?.accelerators ?? null,
    task.declared?.runMilliseconds ?? null,
  ]);
  hash.update(JSON.stringify([job.service, job.idempotent, tasks]));
  return hash.digest('hex').slice(0, digestLength);
}
