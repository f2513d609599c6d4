/** Measures the bodies and answers that a dispatcher holds. */
import type { JobRequest, JobResult } from '@cranberryturn/types';
import { JobOutcome } from '@cranberryturn/types';

/** Measures a submitted body in UTF-16 code units, as the strings are held. */
export function measureRequestSize(request: JobRequest): number {
  return request.tasks.reduce(
    (sum, task) => sum + task.taskId.length + task.payload.length,
    0,
  );
}

/** Measures a result in UTF-16 code units: its answers, or the reason of its failure. */
export function measureResultSize(result: JobResult): number {
  if (result.outcome === JobOutcome.Failed) return result.reason.length;
  return result.answers.reduce((sum, one) => sum + one.answer.length, 0);
}
