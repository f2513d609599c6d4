/** Options of a dispatcher. */
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
  /** Requests of one connection that may wait for their responses at the same time; 64 when undefined. */
  readonly requestsPerConnection?: number | undefined;
}

/** Dependencies and settings of a dispatcher. */
export interface DispatcherOptions {
  readonly self: DispatcherIdentity;
  /** Data centre whose targets are preferred; no preference when undefined. */
  readonly dataCentre?: DataCentreName | undefined;
  readonly callers: NetworkAddress;
  readonly peers: NetworkAddress & {
    /** Address that other processes dial, when it differs from the listen address. */
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
  /**
   * Number of targets of each service that have a session with this dispatcher; undefined
   * means all. Every dispatcher must have the same value.
   */
  readonly targetsPerService?: number | undefined;
  /** Maximum duration of a planned stop; 60 s when undefined. */
  readonly graceMilliseconds?: Milliseconds | undefined;
  /** Replaces the scheduler, so that policies can be compared. */
  readonly createScheduler?:
    ((options: SchedulerOptions) => Scheduler) | undefined;
}
