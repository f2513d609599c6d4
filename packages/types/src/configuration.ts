/** Configuration of the system, which operators change through plans. */
import type {
  ConfigurationVersion,
  DataCentreName,
  HostName,
  Milliseconds,
  RackName,
  ReplicaId,
  ServiceName,
  TargetId,
  TeamName,
} from './identifiers.js';
import type { NetworkAddress, WorkerResources } from './targets.js';

/** Limits of one service, summed over all dispatchers unless stated otherwise. */
export interface ServiceConfiguration {
  readonly service: ServiceName;
  /** Maximum number of tasks that run at the same time; undefined means no limit. */
  readonly concurrencyLimit?: number | undefined;
  /** Maximum number of task starts per second; undefined means no limit. */
  readonly startsPerSecondLimit?: number | undefined;
  /** Maximum number of admitted tasks in the queue of one dispatcher. */
  readonly queueLimit: number;
  /** Deadline of jobs whose caller gives none. */
  readonly defaultDeadlineMilliseconds: Milliseconds;
  /** Retries allowed per hundred first attempts. */
  readonly retryBudgetPercent: number;
}

/** Quota and weight of one team, over all dispatchers. */
export interface TeamConfiguration {
  readonly team: TeamName;
  /** Share of capacity under contention, relative to other teams. */
  readonly weight: number;
  readonly concurrencyQuota?: number | undefined;
  readonly startsPerSecondQuota?: number | undefined;
}

/** Administrative state of a worker. */
export enum WorkerState {
  Active = 'active',
  Draining = 'draining',
  Removed = 'removed',
}

/**
 * Declaration of one worker by operators. Targets without a declaration may announce themselves
 * too.
 */
export interface WorkerConfiguration {
  readonly targetId: TargetId;
  readonly service: ServiceName;
  readonly rack: RackName;
  readonly dataCentre: DataCentreName;
  readonly state: WorkerState;
  readonly resources?: WorkerResources | undefined;
  /** Overrides the announced number of slots. */
  readonly slots?: number | undefined;
}

/** One control host and its replica. */
export interface ControlHostConfiguration {
  readonly replicaId: ReplicaId;
  readonly host: HostName;
  readonly address: NetworkAddress;
}

/** Limits on the age and number of the claims that control stores. */
export interface ClaimRetention {
  /** Retention of a claim after its job was answered. */
  readonly finishedMilliseconds: Milliseconds;
  /** Retention of a claim after its last grant if its job is never reported as answered. */
  readonly unfinishedMilliseconds: Milliseconds;
  /** Number of claims above which new jobs are refused. */
  readonly maximumClaims: number;
}

/** The whole configuration at one version. */
export interface ClusterConfiguration {
  readonly version: ConfigurationVersion;
  readonly services: readonly ServiceConfiguration[];
  readonly teams: readonly TeamConfiguration[];
  readonly workers: readonly WorkerConfiguration[];
  readonly drainedRacks: readonly RackName[];
  readonly drainedDataCentres: readonly DataCentreName[];
  readonly controlHosts: readonly ControlHostConfiguration[];
  /** Undefined until an operator sets it; control then uses its defaults. */
  readonly claimRetention?: ClaimRetention | undefined;
}

/** The configuration before the first change. */
export const emptyConfiguration: ClusterConfiguration = {
  version: 0,
  services: [],
  teams: [],
  workers: [],
  drainedRacks: [],
  drainedDataCentres: [],
  controlHosts: [],
};
