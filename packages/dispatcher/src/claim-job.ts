/** The claim of one job, measured. */
import { randomUUID } from 'node:crypto';

import { Distribution, type Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type { DispatcherIdentity } from '@cranberryturn/types';

import type { DispatcherLinks } from './dispatcher-links.js';
import { ownJob, type Ownership } from './own-job.js';
import type { ControlPort } from './ports/control.js';
import type { RunningJob } from './running-job.js';

/** What a claim needs. */
export interface ClaimSurroundings {
  readonly self: DispatcherIdentity;
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly links: DispatcherLinks;
  readonly metrics: Metrics;
}

/** Claims a job that was admitted. */
export async function claimJob(
  { self, timers, control, links, metrics }: ClaimSurroundings,
  job: RunningJob,
): Promise<Ownership> {
  const { jobId, team, service } = job.request;
  const began = timers.now();
  const ownership = await ownJob({
    claim: {
      team,
      jobId,
      service,
      digest: job.entry.digest,
      owner: self,
      submissionId: randomUUID(),
    },
    deadline: job.deadline,
    control,
    links,
    timers,
  });
  metrics.record(Distribution.ClaimMilliseconds, timers.now() - began);
  return ownership;
}
