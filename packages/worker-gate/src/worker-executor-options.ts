/** Dependencies and event handlers of a worker executor. */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  RunEnd,
  StalledRun,
  WorkerRun,
} from '@cranberryturn/types';

import type { RunValidity } from '@cranberryturn/wire';

import type { ActiveRun } from './active-run.js';
import type { DispatcherLeases } from './dispatcher-leases.js';
import type { StartRule } from './evacuation-guard.js';
import type { Fencing } from './fencing.js';
import type { WorkerPort, WorkerStatus } from './ports/worker.js';
import type { LeftoverRuns } from './leftover-runs.js';
import type { EndEvidence } from './run-evidence.js';
import type { QueuePresences } from './queue-presence.js';

/** What the replies of the worker say about its incarnations. */
export interface IncarnationEvents {
  /** The worker has answered as the incarnation of this executor. Called once. */
  readonly answered: () => void;
  /** Another incarnation has answered, so the incarnation of this executor does not exist any more, or never did. */
  readonly otherIncarnationAnswered: () => void;
  /** The worker has told its runs, in reply to an order with the fencing token. */
  readonly statusReceived: (status: WorkerStatus, fencingToken: number) => void;
}

/** Options of the executor for one incarnation of a worker. */
export interface WorkerExecutorOptions extends IncarnationEvents {
  readonly worker: WorkerRun;
  readonly port: WorkerPort;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly fencing: Fencing;
  readonly leases: DispatcherLeases;
  /** Runs at the worker that this process did not order there. */
  readonly leftovers: LeftoverRuns;
  readonly evacuations: StartRule;
  readonly validity: RunValidity;
  /** Whether load reports name the work started by priority; dispatchers use it where admission under scarcity is enabled. */
  readonly reportsStartedWork?: boolean | undefined;
  /** Measures the presence of queues, over the incarnations of the worker. */
  readonly presences: QueuePresences;
  /** Called once for each run that ends. */
  readonly runEnded: (
    dispatcher: DispatcherId,
    end: RunEnd,
    evidence: EndEvidence,
  ) => void;
  /** Called for active runs that make no progress. */
  readonly runsStalled: (
    dispatcher: DispatcherId,
    runs: readonly StalledRun[],
  ) => void;
  /** Called with the runs that end with this incarnation, before they end. */
  readonly runsLost: (runs: readonly ActiveRun[]) => void;
  /** Called when the worker replies again, is silent or drains. */
  readonly stateChanged: () => void;
  /** Called when a worker that was full has free capacity again. */
  readonly capacityFreed: () => void;
}
