/** What the client of the shared queue needs, and reports to, in its dispatcher. */
import type { Logger } from '@cranberryturn/logger';
import type { Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type {
  CapacityRequest,
  DispatcherId,
  GrantKey,
  Milliseconds,
  ServiceName,
  TargetId,
} from '@cranberryturn/types';

import type { ActiveJob, ActiveTask } from '../active-job.js';
import type { DispatcherLinks } from '../dispatcher-links.js';
import type { KnownWorker } from '../known-worker.js';
import type { JobStep } from '../transient-job.js';

/** Tasks to request capacity for, which are placed alike. */
export interface RequestedTasks {
  readonly active: ActiveJob;
  readonly step: JobStep;
  readonly tasks: readonly ActiveTask[];
  /** The request, but for its number and the workers that cannot be used. */
  readonly request: Omit<
    CapacityRequest,
    'request' | 'tasks' | 'excludedWorkers'
  >;
  /** Workers to use only when no other is left. */
  readonly excludedWorkers: ReadonlySet<TargetId>;
}

/** Dependencies and event handlers of the client. */
export interface CapacityClientOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly links: Pick<DispatcherLinks, 'isConnected' | 'sendRequest'>;
  readonly listWorkers: (service: ServiceName) => Iterable<KnownWorker>;
  readonly findWorker: (workerId: TargetId) => KnownWorker | undefined;
  /** Capacity was granted for some tasks; they are placed at once. */
  readonly granted: (
    requested: RequestedTasks,
    tasks: readonly ActiveTask[],
    known: KnownWorker,
    grant: GrantKey,
  ) => void;
  /** The coordinator has accepted a request, some of whose tasks may wait. */
  readonly accepted: (
    requested: RequestedTasks,
    waitMilliseconds: Milliseconds,
  ) => void;
  /** The coordinator has refused a request. None of its tasks has a grant. */
  readonly refused: (
    requested: RequestedTasks,
    waitMilliseconds: Milliseconds,
  ) => void;
  /** The job would end too late to be of use. None of its tasks has a grant. */
  readonly expired: (active: ActiveJob) => void;
  /** Whether tasks may be placed now; not shortly after this process was suspended. */
  readonly mayPlace: () => boolean;
  /** Some requested tasks of the job wait again, and are to be placed without a grant. */
  readonly returned: (active: ActiveJob) => void;
}
