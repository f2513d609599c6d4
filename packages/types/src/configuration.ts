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

/** Limits of one service over all dispatchers. */
export interface ServiceConfiguration {
  readonly service: ServiceName;
  /** Largest number of tasks that run at the same time; undefined means no limit. */
  readonly concurrencyLimit?: number | undefined;
  /** Largest number of task starts a second; undefined means no limit. */
  readonly startsPerSecondLimit?: number | undefined;
  /** Largest number of admitted tasks that wait in one dispatcher. */
  readonly queueLimit: number;
  /** Deadline used when the caller names none. */
  readonly defaultDeadlineMilliseconds: Milliseconds;
  /** Retries allowed for each hundred first attempts. */
  readonly retryBudgetPercent: number;
}

/** Quota and weight of one team over all dispatchers. */
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

/** What operators decided about one worker; targets also announce themselves without an entry. */
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

/** One control host with its replica. */
export interface ControlHostConfiguration {
  readonly replicaId: ReplicaId;
  readonly host: HostName;
  readonly address: NetworkAddress;
}

/** How long and how many claims control keeps. */
export interface ClaimRetention {
  /** Time that a claim is kept after its job was answered. */
  readonly finishedMilliseconds: Milliseconds;
  /** Time that a claim is kept after its last grant when its job is never reported as answered. */
  readonly unfinishedMilliseconds: Milliseconds;
  /** Number of claims above which new jobs are refused. */
  readonly maximumClaims: number;
}

/** Everything that operators set, at one version. */
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
