/** Options of the transient jobs of a dispatcher, and the handle that callers receive. */
import type { Logger } from '@cranberryturn/logger';
import type { Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { SessionTimes } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type { DispatcherId, DispatcherList } from '@cranberryturn/types';
import type { Network, RunValidity } from '@cranberryturn/wire';

import type { EvacuationSource } from './distribute-evacuations.js';
import type { ScarcitySettings } from './scarcity/scarcity-settings.js';
import type { TransientJobEnd } from './transient-job.js';

/** Options of the transient jobs of one dispatcher. */
export interface TransientJobsOptions {
  readonly dispatcherId: DispatcherId;
  readonly dataCentre: string;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How long orders and runs are valid; by default what the default bounds allow. */
  readonly validity?: RunValidity | undefined;
  /** Factor by which a task runs longer on a rack without its input data. */
  readonly remoteFactor: number;
  /** Dispatchers from which sidecars choose those that they keep sessions with. */
  readonly listDispatchers: () => DispatcherList;
  /** Dials other dispatchers that coordinate workers; without it, only this dispatcher itself is requested capacity from. */
  readonly network?: Network | undefined;
  /**
   * Whether tasks wait in the shared queues of the coordinators. Otherwise each dispatcher places its tasks by load
   * reports. On by default; admission under scarcity turns it off.
   */
  readonly sharedQueue?: boolean | undefined;
  /** Settings of admission under scarcity; disabled when undefined. */
  readonly scarcity?: ScarcitySettings | undefined;
  /** The evacuations to enforce at the workers; undefined where evacuations are not enabled. */
  readonly evacuations?: EvacuationSource | undefined;
}

/** A submitted job, as one caller sees it. */
export interface SubmittedJob {
  /** Resolves with the end of the job; never rejects. */
  readonly ended: Promise<TransientJobEnd>;
  /** Called when the caller has disconnected. A job without any remaining caller is stopped. */
  abandon(): void;
}
