/** Crashes of workers, as sidecars report them to dispatchers. */
import type {
  Incarnation,
  JobId,
  Milliseconds,
  ServiceName,
  TargetId,
  TaskId,
} from './identifiers.js';
import type { QueueName } from './queues.js';

/** A run that was active at a worker when the worker crashed. */
export interface CrashedRun {
  readonly jobId: JobId;
  readonly taskId: TaskId;
  /** Undefined for an order from an earlier version. */
  readonly queue?: QueueName | undefined;
}

/** How often a queue has had active runs at a worker. */
export interface QueuePresence {
  readonly queue: QueueName;
  /** Share of the recent time with at least one active run, from 0 to 1. */
  readonly share: number;
}

/** A crash of one incarnation of a worker. */
export interface WorkerCrash {
  readonly workerId: TargetId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  /** Time from the crash to this report. */
  readonly ageMilliseconds: Milliseconds;
  /** The runs that were active, or a part of them if there were very many. */
  readonly runs: readonly CrashedRun[];
  /** Presence of each queue before the crash, whether it had active runs at the crash or not. */
  readonly presence: readonly QueuePresence[];
}
