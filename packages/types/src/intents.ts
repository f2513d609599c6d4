import type {
  ClaimRetention,
  ControlHostConfiguration,
  ServiceConfiguration,
  TeamConfiguration,
  WorkerConfiguration,
} from './configuration.js';
import type {
  ConfigurationVersion,
  DataCentreName,
  Milliseconds,
  RackName,
  ReplicaId,
  ServiceName,
  TargetId,
  TeamName,
} from './identifiers.js';

/** What an operator can ask for. */
export enum IntentKind {
  AddWorker = 'add-worker',
  RemoveWorker = 'remove-worker',
  DrainWorker = 'drain-worker',
  UndrainWorker = 'undrain-worker',
  DrainRack = 'drain-rack',
  UndrainRack = 'undrain-rack',
  DrainDataCentre = 'drain-data-centre',
  UndrainDataCentre = 'undrain-data-centre',
  SetService = 'set-service',
  SetLimit = 'set-limit',
  RemoveService = 'remove-service',
  SetQuota = 'set-quota',
  RemoveTeam = 'remove-team',
  AddControlHost = 'add-control-host',
  RemoveControlHost = 'remove-control-host',
  ReplaceControlHost = 'replace-control-host',
  SetClaimRetention = 'set-claim-retention',
}

/** Where a target says that it runs. */
export interface AnnouncedWorker {
  readonly service: ServiceName;
  readonly rack: RackName;
  readonly dataCentre: DataCentreName;
}

/** An intent about one worker that is known already. */
export interface WorkerIntent {
  readonly kind:
    IntentKind.RemoveWorker | IntentKind.DrainWorker | IntentKind.UndrainWorker;
  readonly targetId: TargetId;
  /** What the target announced, for one that no operator declared; filled in when the plan is made. */
  readonly announced?: AnnouncedWorker | undefined;
}

/** Declares a worker, or changes its declaration. */
export interface AddWorkerIntent {
  readonly kind: IntentKind.AddWorker;
  readonly worker: Omit<WorkerConfiguration, 'state'>;
}

/** An intent about one rack. */
export interface RackIntent {
  readonly kind: IntentKind.DrainRack | IntentKind.UndrainRack;
  readonly rack: RackName;
}

/** An intent about one data centre. */
export interface DataCentreIntent {
  readonly kind: IntentKind.DrainDataCentre | IntentKind.UndrainDataCentre;
  readonly dataCentre: DataCentreName;
}

/** Declares a service with all of its limits. */
export interface SetServiceIntent {
  readonly kind: IntentKind.SetService;
  readonly service: ServiceConfiguration;
}

/** Changes some limits of a declared service; null removes a limit. */
export interface SetLimitIntent {
  readonly kind: IntentKind.SetLimit;
  readonly service: ServiceName;
  readonly concurrencyLimit?: number | null | undefined;
  readonly startsPerSecondLimit?: number | null | undefined;
  readonly queueLimit?: number | undefined;
  readonly defaultDeadlineMilliseconds?: Milliseconds | undefined;
  readonly retryBudgetPercent?: number | undefined;
}

/** Removes the declaration of a service. */
export interface RemoveServiceIntent {
  readonly kind: IntentKind.RemoveService;
  readonly service: ServiceName;
}

/** Declares the quota and weight of a team. */
export interface SetQuotaIntent {
  readonly kind: IntentKind.SetQuota;
  readonly team: TeamConfiguration;
}

/** Removes the declaration of a team. */
export interface RemoveTeamIntent {
  readonly kind: IntentKind.RemoveTeam;
  readonly team: TeamName;
}

/** Adds a replica of control. */
export interface AddControlHostIntent {
  readonly kind: IntentKind.AddControlHost;
  readonly controlHost: ControlHostConfiguration;
}

/** Removes a replica of control. */
export interface RemoveControlHostIntent {
  readonly kind: IntentKind.RemoveControlHost;
  readonly replicaId: ReplicaId;
}

/** Adds a replica of control and, once it holds the whole log, removes another. */
export interface ReplaceControlHostIntent {
  readonly kind: IntentKind.ReplaceControlHost;
  readonly replicaId: ReplicaId;
  readonly replacement: ControlHostConfiguration;
}

/** Sets how long and how many claims control keeps. */
export interface SetClaimRetentionIntent {
  readonly kind: IntentKind.SetClaimRetention;
  readonly retention: ClaimRetention;
}

/** What an operator asks for. */
export type Intent =
  | WorkerIntent
  | AddWorkerIntent
  | RackIntent
  | DataCentreIntent
  | SetServiceIntent
  | SetLimitIntent
  | RemoveServiceIntent
  | SetQuotaIntent
  | RemoveTeamIntent
  | AddControlHostIntent
  | RemoveControlHostIntent
  | ReplaceControlHostIntent
  | SetClaimRetentionIntent;

/** One accepted change of the configuration. */
export interface ConfigurationChange {
  /** Version that this change made. */
  readonly version: ConfigurationVersion;
  readonly intent: Intent;
  /** Operator who confirmed it. */
  readonly operator: string;
  /** Wall-clock time of the leader, in milliseconds since 1970. */
  readonly at: Milliseconds;
}
