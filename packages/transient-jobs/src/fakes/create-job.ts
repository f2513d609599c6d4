/** Creates the queues and jobs of tests. */
import type { QueueConfiguration } from '@cranberryturn/types';

import type { JobStep, TransientJob } from '../transient-job.js';

/** Resources of each task in these tests. */
export const oneProcessor = {
  processors: 1,
  memoryMebibytes: 64,
  accelerators: 0,
};

/** Creates the queue of these tests. */
export function createQueue(
  overrides: Partial<QueueConfiguration> = {},
): QueueConfiguration {
  return {
    queue: 'lookups',
    host: 'register.example',
    pathPrefix: '/lookups/',
    service: 'register',
    priority: 1,
    maximumFailures: 2,
    slackFactor: 1.6,
    targetLatencyMilliseconds: 60,
    ...overrides,
  };
}

/** Creates a job of one step whose tasks need one processor each. */
export function createJob(
  jobId: string,
  tasks: number,
  overrides: Partial<TransientJob> & { readonly step?: Partial<JobStep> } = {},
): TransientJob {
  const { step, ...rest } = overrides;
  return {
    jobId,
    requestId: jobId,
    queue: createQueue(),
    specification: 'text',
    steps: [
      {
        tasks,
        need: oneProcessor,
        estimatedMilliseconds: 100,
        after: [],
        ...step,
      },
    ],
    deadlineMilliseconds: 5_000,
    heldMilliseconds: 0,
    ...rest,
  };
}
