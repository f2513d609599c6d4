/** Queues of a published configuration, as dispatchers use them. */
import type { Milliseconds, ServiceName } from './identifiers.js';

/** Name of a queue in the published configuration. */
export type QueueName = string;

/** A queue of jobs: the address for callers and the parameters of its jobs. */
export interface QueueConfiguration {
  readonly queue: QueueName;
  /** Host name in requests of callers. */
  readonly host: string;
  /** First part of the path in requests of callers, up to the job identifier. */
  readonly pathPrefix: string;
  /** Service whose workers run the tasks. */
  readonly service: ServiceName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of one task after which the job fails. */
  readonly maximumFailures: number;
  /** Desired response time of a job, as a multiple of the run times along its critical path. */
  readonly slackFactor: number;
  /** Desired upper bound for the time that a job takes on top of its run times. */
  readonly targetLatencyMilliseconds: Milliseconds;
}

/** Limits on requests of callers. */
export interface RequestLimits {
  readonly bodyBytes: number;
}

/** The queues and limits of one published configuration. */
export interface QueueDirectory {
  readonly version: number;
  readonly queues: readonly QueueConfiguration[];
  readonly limits: RequestLimits;
}
