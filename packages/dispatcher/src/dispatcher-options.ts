/** What a dispatcher is built from. */
import type { ResultRetention } from '@cranberryturn/jobs';
import type { Logger } from '@cranberryturn/logger';
import type { Metrics } from '@cranberryturn/metrics';
import type { Scheduler, SchedulerOptions } from '@cranberryturn/scheduling';
import type { SessionTimes } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DataCentreName,
  DecisionSink,
  DispatcherIdentity,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import type { Network } from '@cranberryturn/wire';

import type { CallerTeam } from './callers/serve-callers.js';
import type { ControlPort } from './ports/control.js';

/** Limits of the HTTP interface. */
export interface DispatcherLimits {
  readonly bodyBytes: number;
  readonly bodyTimeoutMilliseconds: Milliseconds;
  readonly callersConnections: number;
}

/** What a dispatcher is built from. */
export interface DispatcherOptions {
  readonly self: DispatcherIdentity;
  /** Targets of this data centre are preferred; without it, all are alike. */
  readonly dataCentre?: DataCentreName | undefined;
  readonly callers: NetworkAddress;
  readonly peers: NetworkAddress & {
    /** Address that others dial, where it is not the one listened on. */
    readonly advertisedAddress?: string | undefined;
  };
  readonly teams: readonly CallerTeam[];
  readonly limits: DispatcherLimits;
  readonly retention: ResultRetention;
  readonly network: Network;
  readonly control: ControlPort;
  readonly timers: TimerService;
  readonly seed: number;
  readonly metrics: Metrics;
  readonly decisions: DecisionSink;
  readonly logger?: Logger | undefined;
  readonly sessionTimes?: SessionTimes | undefined;
  /** Number of targets of each service to have sessions with; all without it. The same at each dispatcher. */
  readonly targetsPerService?: number | undefined;
  /** Longest time of a planned stop. */
  readonly graceMilliseconds?: Milliseconds | undefined;
  /** Creates another scheduler than that of the product, to compare policies. */
  readonly createScheduler?:
    ((options: SchedulerOptions) => Scheduler) | undefined;
}
