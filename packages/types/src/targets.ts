/** Targets and workers: announcements, resources and load. */
import type {
  DataCentreName,
  HostName,
  Incarnation,
  Milliseconds,
  RackName,
  ServiceName,
  TargetId,
} from './identifiers.js';

/** Address and port of a process. */
export interface NetworkAddress {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** Resources of a worker; processors may be fractional. */
export interface WorkerResources {
  readonly processors: number;
  readonly memoryMebibytes: number;
  readonly accelerators: number;
}

/** Announcement that a sidecar makes about its target. */
export interface TargetAnnouncement {
  readonly targetId: TargetId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  readonly host: HostName;
  readonly rack: RackName;
  readonly dataCentre: DataCentreName;
  readonly resources: WorkerResources;
  /** Number of tasks that the target can run at the same time. */
  readonly slots: number;
  /** Number of connections the target accepts. */
  readonly connections: number;
}

/** Resource usage of a worker, as measured by the platform. */
export interface WorkerUsage {
  /** Time since the measurement. */
  readonly ageMilliseconds: Milliseconds;
  readonly processors: number;
  readonly memoryMebibytes: number;
  readonly accelerators: number;
}

/** Load of a target, which the sidecar reports with most of its messages. */
export interface TargetLoad {
  readonly freeSlots: number;
  readonly queuedTasks: number;
  readonly draining: boolean;
  /** Latest usage, while the platform reports usage. */
  readonly usage?: WorkerUsage | undefined;
}

/** State of a target from the view of one dispatcher. */
export enum TargetState {
  Active = 'active',
  Suspected = 'suspected',
  Draining = 'draining',
  Gone = 'gone',
}
