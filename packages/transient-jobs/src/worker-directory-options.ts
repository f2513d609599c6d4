/** Dependencies of the worker directory, and the events that it reports. */
import type { Logger } from '@cranberryturn/logger';
import type { RandomSource } from '@cranberryturn/random';
import type { SessionTimes } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  DispatcherList,
  RunEnd,
  StalledRun,
  WorkerCrash,
} from '@cranberryturn/types';

import type { RunValidity } from '@cranberryturn/wire';

import type { EvacuationSource } from './distribute-evacuations.js';
import type { KnownWorker } from './known-worker.js';
import type { SessionNumber } from './sidecar-session.js';

/** Events at the workers, and the query that the directory needs in return. */
export interface WorkerEvents {
  readonly runEnded: (session: SessionNumber, end: RunEnd) => void;
  readonly runsStalled: (
    known: KnownWorker,
    runs: readonly StalledRun[],
  ) => void;
  /** All runs of the session have ended: its sidecar has left it or was started anew, or was silent for too long. */
  readonly runsLost: (session: SessionNumber) => void;
  /** A worker was announced, or a new incarnation of a known worker. */
  readonly workerAnnounced: () => void;
  /** A worker reported its load. Called after every message of its sidecar. */
  readonly loadReported: (known: KnownWorker) => void;
  /** The worker of a sidecar has crashed. Reports are repeated, and arrive for earlier incarnations too. */
  readonly workerCrashed: (sidecar: string, crash: WorkerCrash) => void;
  readonly hasRunsIn: (session: SessionNumber) => boolean;
}

/** Dependencies and event handlers of the directory. */
export interface WorkerDirectoryOptions extends WorkerEvents {
  readonly dispatcherId: DispatcherId;
  readonly validity: RunValidity;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  /** Dispatchers from which sidecars choose those that they keep sessions with. */
  readonly listDispatchers: () => DispatcherList;
  /** Undefined where evacuations are not enabled. */
  readonly evacuations?: EvacuationSource | undefined;
}
