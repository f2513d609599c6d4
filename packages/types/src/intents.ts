/** Intents: changes of the configuration that operators request. */
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

/** Kinds of change that an operator can request. */
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

/** Service and location that a target announced. */
export interface AnnouncedWorker {
  readonly service: ServiceName;
  readonly rack: RackName;
  readonly dataCentre: DataCentreName;
}

/** Changes the state of a worker that is already known. */
export interface WorkerIntent {
  readonly kind:
    IntentKind.RemoveWorker | IntentKind.DrainWorker | IntentKind.UndrainWorker;
  readonly targetId: TargetId;
  /** Announcement of a target that no operator declared; filled in when the plan is made. */
  readonly announced?: AnnouncedWorker | undefined;
}

/** Declares a worker or changes its declaration. */
export interface AddWorkerIntent {
  readonly kind: IntentKind.AddWorker;
  readonly worker: Omit<WorkerConfiguration, 'state'>;
}

/** Drains or undrains one rack. */
export interface RackIntent {
  readonly kind: IntentKind.DrainRack | IntentKind.UndrainRack;
  readonly rack: RackName;
}

/** Drains or undrains one data centre. */
export interface DataCentreIntent {
  readonly kind: IntentKind.DrainDataCentre | IntentKind.UndrainDataCentre;
  readonly dataCentre: DataCentreName;
}

/** Declares a service with all of its limits. */
export interface SetServiceIntent {
  readonly kind: IntentKind.SetService;
  readonly service: ServiceConfiguration;
}

/** Changes limits of a declared service: null removes a limit, undefined leaves it unchanged. */
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

/** Adds a control replica. */
export interface AddControlHostIntent {
  readonly kind: IntentKind.AddControlHost;
  readonly controlHost: ControlHostConfiguration;
}

/** Removes a control replica. */
export interface RemoveControlHostIntent {
  readonly kind: IntentKind.RemoveControlHost;
  readonly replicaId: ReplicaId;
}

/** Adds a control replica and, once the new replica has the whole log, removes another. */
export interface ReplaceControlHostIntent {
  readonly kind: IntentKind.ReplaceControlHost;
  readonly replicaId: ReplicaId;
  readonly replacement: ControlHostConfiguration;
}

/** Sets the limits on the claims that control stores. */
export interface SetClaimRetentionIntent {
  readonly kind: IntentKind.SetClaimRetention;
  readonly retention: ClaimRetention;
}

/** A change of the configuration that an operator requests. */
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
  /** Version of the configuration after this change. */
  readonly version: ConfigurationVersion;
  readonly intent: Intent;
  /** Operator who confirmed the change. */
  readonly operator: string;
  /** Time of acceptance by the wall clock of the leader, in milliseconds since 1970. */
  readonly at: Milliseconds;
}
