/** Puts jobs into the queue of their service. */
import { createHeapNode, type HeapNode } from '@cranberryturn/admission';

import type { ActiveJob } from './active-work.js';

/** The job's place in the queue. */
export function findQueueNode(job: ActiveJob): HeapNode<ActiveJob> {
  job.node ??= createHeapNode(job);
  return job.node;
}

/** Puts the job where its next task stands in the queue. Its longest tasks go first. */
export function enqueueJob(job: ActiveJob): void {
  const next = job.waiting.at(-1);
  if (next === undefined) return;
  job.latestStart = job.dueAt - next.expectedRunMilliseconds;
  if (job.hasPlacedTask) job.pool.queue.addStarted(findQueueNode(job));
  else job.pool.queue.addUnstarted(findQueueNode(job));
}
