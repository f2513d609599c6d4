/** Claims an admitted job and measures how long the claim takes. */
import { randomUUID } from 'node:crypto';

import { Distribution, type Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type { DispatcherIdentity } from '@cranberryturn/types';

import type { DispatcherLinks } from './dispatcher-links.js';
import { acquireJob, type Ownership } from './acquire-job.js';
import type { ControlPort } from './ports/control.js';
import type { RunningJob } from './running-job.js';

/** Dependencies of a claim. */
export interface ClaimJobDependencies {
  readonly self: DispatcherIdentity;
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly links: DispatcherLinks;
  readonly metrics: Metrics;
}

/** Acquires the ownership of an admitted job before its deadline. */
export async function claimJob(
  { self, timers, control, links, metrics }: ClaimJobDependencies,
  job: RunningJob,
): Promise<Ownership> {
  const { jobId, team, service } = job.request;
  const startedAt = timers.now();
  const ownership = await acquireJob({
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
  metrics.record(Distribution.ClaimMilliseconds, timers.now() - startedAt);
  return ownership;
}
