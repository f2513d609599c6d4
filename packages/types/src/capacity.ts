/**
 * The shared queue: dispatchers request capacity from the dispatcher that coordinates a group of workers,
 * which grants it in the order of urgency.
 */
import type {
  DataCentreName,
  DispatcherId,
  JobId,
  Milliseconds,
  ServiceName,
  TargetId,
} from './identifiers.js';
import type { QueueName } from './queues.js';
import type { RunRequirements } from './runs.js';

/** Identifies one grant. */
export interface GrantKey {
  /** The dispatcher that has granted the capacity. */
  readonly coordinator: DispatcherId;
  /** Number of the grant, unique for one run of the coordinator. */
  readonly grant: number;
}

/** Hosts where the tasks of a request may run after crashes of workers, by the names of the sidecars. */
export interface RequestedHosts {
  /** The only hosts to use; undefined for all. */
  readonly confinedTo?: readonly string[] | undefined;
  /** Hosts to use only where the others take much longer. */
  readonly avoided: readonly string[];
  /** Hosts to use only when no other is left. */
  readonly excluded: readonly string[];
}

/** Request for capacity for equal tasks of one step of a job. */
export interface CapacityRequest {
  /** Number of the request, unique for one run of the requesting dispatcher. */
  readonly request: number;
  readonly jobId: JobId;
  /** Identifier of the caller's request. */
  readonly requestId: string;
  readonly service: ServiceName;
  readonly queue: QueueName;
  /** Data centre of the dispatcher, whose workers are preferred among equals. */
  readonly dataCentre: DataCentreName;
  /** Number of tasks that need capacity. */
  readonly tasks: number;
  readonly need: RunRequirements;
  /** Label of the rack that holds the input data. */
  readonly dataLabel?: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected run time of a task on a worker of average speed. */
  readonly estimatedMilliseconds: Milliseconds;
  /** Time left until the job should have ended; negative if the job is late. */
  readonly dueMilliseconds: Milliseconds;
  /** Longest expected wait for capacity with which the request is still accepted; undefined accepts any. */
  readonly maximumWaitMilliseconds?: Milliseconds | undefined;
  /** Time left in which the end of the job is of use; undefined once a task of the job may have started. */
  readonly usefulMilliseconds?: Milliseconds | undefined;
  /** Workers that the dispatcher cannot use, or uses only when no other is left. */
  readonly excludedWorkers: readonly TargetId[];
  /** Undefined without any restriction. */
  readonly hosts?: RequestedHosts | undefined;
}

/** Capacity for some tasks of a request on one worker. */
export interface CapacityGrant {
  /** Number of the grant, unique for one run of the coordinator. */
  readonly grant: number;
  readonly workerId: TargetId;
  readonly tasks: number;
}

/** State of the workers of one coordinator that the receiver can reach. */
export interface CoordinatedCapacity {
  /** Free processors of the usable ones, less what is granted. */
  readonly freeProcessors: number;
  /** Expected wait for capacity of a request of average urgency. */
  readonly waitMilliseconds: Milliseconds;
}
