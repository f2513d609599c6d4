import type { Milliseconds, ServiceName } from './identifiers.js';

/** Name of a queue in the published configuration. */
export type QueueName = string;

/** A queue of jobs: where callers reach it and how its jobs are run. */
export interface QueueConfiguration {
  readonly queue: QueueName;
  /** Host name that callers send. */
  readonly host: string;
  /** First part of the path that callers send; ends before the job identifier. */
  readonly pathPrefix: string;
  /** Service whose workers run the tasks. */
  readonly service: ServiceName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Starts of one task that may fail before its job fails. */
  readonly maximumFailures: number;
  /** Response time aimed at, as a multiple of the longest chain of run times. */
  readonly slackFactor: number;
  /** Time aimed at on top of the run times. */
  readonly targetLatencyMilliseconds: Milliseconds;
}

/** Limits for the requests of callers. */
export interface RequestLimits {
  readonly bodyBytes: number;
}

/** What a published configuration says, as dispatchers use it. */
export interface QueueDirectory {
  readonly version: number;
  readonly queues: readonly QueueConfiguration[];
  readonly limits: RequestLimits;
}
