/** What the transient jobs of a dispatcher are built from, and what they offer to callers. */
import type { Logger } from '@cranberryturn/logger';
import type { Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { SessionTimes } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type { DispatcherId, KnownDispatcher } from '@cranberryturn/types';

import type { TransientJobEnd } from './transient-job.js';

/** What the jobs need. */
export interface TransientJobsOptions {
  readonly dispatcherId: DispatcherId;
  readonly dataCentre: string;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How much longer a task takes away from its data. */
  readonly remoteFactor: number;
  readonly listDispatchers: () => readonly KnownDispatcher[];
}

/** A job that was submitted. */
export interface SubmittedJob {
  readonly ended: Promise<TransientJobEnd>;
  /** The caller left: a job that nobody waits for is stopped. */
  abandon(): void;
}
