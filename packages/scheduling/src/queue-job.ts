/** Adds jobs to the queue of their service. */
import { createHeapNode, type HeapNode } from '@cranberryturn/admission';

import type { ActiveJob } from './active-work.js';

/** Returns the queue node of a job, and creates it at the first use. */
export function findQueueNode(job: ActiveJob): HeapNode<ActiveJob> {
  job.node ??= createHeapNode(job);
  return job.node;
}

/** Adds or moves a job in the queue by the latest start of its next task. Does nothing when no task waits. */
export function enqueueJob(job: ActiveJob): void {
  const next = job.waiting.at(-1);
  if (next === undefined) return;
  job.latestStart = job.dueAt - next.expectedRunMilliseconds;
  if (job.hasPlacedTask) job.pool.queue.addStarted(findQueueNode(job));
  else job.pool.queue.addUnstarted(findQueueNode(job));
}
