/** What one life of a worker is built from, and whom it tells what. */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  Milliseconds,
  RunEnd,
  RunEndReason,
  StillRun,
  WorkerRun,
} from '@cranberryturn/types';

import type { DispatcherLeases } from './dispatcher-leases.js';
import type { Fencing } from './fencing.js';
import type { WorkerPort } from './ports/worker.js';

/** What a life is built from. */
export interface WorkerLifeOptions {
  readonly worker: WorkerRun;
  readonly port: WorkerPort;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly fencing: Fencing;
  readonly leases: DispatcherLeases;
  /** Longest lease that the worker grants. */
  readonly leaseMilliseconds: Milliseconds;
  /** Hears how each run ended. */
  readonly runEnded: (dispatcher: DispatcherId, end: RunEnd) => void;
  /** Hears of runs that make no progress. */
  readonly runsStill: (
    dispatcher: DispatcherId,
    runs: readonly StillRun[],
  ) => void;
  /** Hears that the worker answers, is silent or drains. */
  readonly stateChanged: () => void;
  /** Hears that capacity was taken or became free. */
  readonly usageChanged: () => void;
  /** Hears that the worker was full and has room again. */
  readonly roomFound: () => void;
  /** Hears that this life of the worker is over. */
  readonly lost: (reason: RunEndReason) => void;
}
