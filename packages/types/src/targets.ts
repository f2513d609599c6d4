import type {
  DataCentreName,
  HostName,
  Incarnation,
  Milliseconds,
  RackName,
  ServiceName,
  TargetId,
} from './identifiers.js';

/** Address of a process. */
export interface NetworkAddress {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** Resources of a worker. */
export interface WorkerResources {
  readonly processors: number;
  readonly memoryMebibytes: number;
  readonly accelerators: number;
}

/** What a target tells the system about itself. */
export interface TargetAnnouncement {
  readonly targetId: TargetId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  readonly host: HostName;
  readonly rack: RackName;
  readonly dataCentre: DataCentreName;
  readonly resources: WorkerResources;
  /** Number of tasks the target runs at the same time. */
  readonly slots: number;
  /** Number of connections the target accepts. */
  readonly connections: number;
}

/** Usage of a worker as its platform measured it some time ago. */
export interface WorkerUsage {
  /** Time since the measurement. */
  readonly ageMilliseconds: Milliseconds;
  readonly processors: number;
  readonly memoryMebibytes: number;
  readonly accelerators: number;
}

/** What a sidecar reports with each of its frames. */
export interface TargetLoad {
  readonly freeSlots: number;
  readonly queuedTasks: number;
  readonly draining: boolean;
  /** Present while the platform reports usage. */
  readonly usage?: WorkerUsage | undefined;
}

/** The lifecycle state of a target as a dispatcher sees it. */
export enum TargetState {
  Active = 'active',
  Suspected = 'suspected',
  Draining = 'draining',
  Gone = 'gone',
}
