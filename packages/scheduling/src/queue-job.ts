/** Puts jobs into the queue of their service. */
import { createHeapNode, type HeapNode } from '@cranberryturn/admission';

import type { ActiveJob } from './active-work.js';

/** The job's place in the queue. */
export function queueNode(job: ActiveJob): HeapNode<ActiveJob> {
  job.node ??= createHeapNode(job);
  return job.node;
}

/** Puts the job where its next task stands in the queue. Its longest tasks go first. */
export function queueJob(job: ActiveJob): void {
  const next = job.waiting.at(-1);
  if (next === undefined) return;
  job.latestStart = job.due - next.estimate;
  if (job.placed) job.pool.queue.addStarted(queueNode(job));
  else job.pool.queue.addFresh(queueNode(job));
}
