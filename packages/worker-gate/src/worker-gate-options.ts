/** Options and interface of a worker gate. */
import type { Logger } from '@cranberryturn/logger';
import type { Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { SessionTimes } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  WorkerRun,
} from '@cranberryturn/types';
import type { Network, RunValidity } from '@cranberryturn/wire';

import type { DispatcherSession } from './dispatcher-session.js';
import type { WorkerPort } from './ports/worker.js';
import type { UnreportedWorkerPort } from './unreported-worker.js';
import type { WorkerExecutor } from './worker-executor.js';
import type { WorkerReport } from './worker-report.js';

/** Options of a worker gate. */
export interface WorkerGateOptions {
  /** Name of this sidecar. */
  readonly name: string;
  readonly network: Network;
  /** Dispatchers to dial first; they send the list of all dispatchers, among which the sidecar chooses. */
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How long orders and runs are valid; by default what the default bounds allow. */
  readonly validity?: RunValidity | undefined;
  /** Whether load reports name the work started by priority; dispatchers use it where admission under scarcity is enabled. */
  readonly reportsStartedWork?: boolean | undefined;
  /** Whether evacuations are enabled: no run starts before a dispatcher has sent their state. Off by default. */
  readonly evacuations?: boolean | undefined;
  /** Opens a port to one incarnation of the worker. `bornAt` is its start on the clock of the worker. */
  readonly openWorker: (worker: WorkerRun, bornAt: Milliseconds) => WorkerPort;
  /** Opens a port to whichever incarnation of the worker answers, for use before the worker has reported. */
  readonly openUnreportedWorker?: (() => UnreportedWorkerPort) | undefined;
}

/** A running gate. */
export interface WorkerGate {
  /**
   * Stops the runs that an earlier process of this sidecar left, without waiting for a report of the worker. To be called
   * once it is certain that the earlier process has ended.
   */
  stopLeftovers(): void;
  /** Applies a report of the worker. False when a later report is known, also of a later incarnation. */
  workerReported(report: WorkerReport): boolean;
  /** Ends the current incarnation, as the worker has announced its departure. */
  workerLeft(workerId: string): void;
  /** Replaces the seeds after a change of the settings. */
  changeSeeds(dispatchers: readonly NetworkAddress[]): void;
  /** Executor of the current incarnation of the worker; undefined when there is none. */
  getExecutor(): WorkerExecutor | undefined;
  /** Connected sessions with dispatchers. */
  listSessions(): readonly DispatcherSession[];
  /** Planned stop: refuses new runs, and resolves when the active runs have ended, at the latest after the grace time. */
  stop(graceMilliseconds: Milliseconds): Promise<void>;
  /** Closes everything at once as a crash would, without stopping the runs at the worker. */
  kill(): void;
}
