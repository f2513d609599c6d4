/** Runs: executions of tasks of transient jobs on workers, under the control of sidecars. */
import type { GrantKey } from './capacity.js';
import type {
  DataCentreName,
  DispatcherId,
  Incarnation,
  JobId,
  LogIndex,
  Milliseconds,
  ServiceName,
  TargetId,
  TaskId,
} from './identifiers.js';
import type { QueueName } from './queues.js';
import type { NetworkAddress, WorkerResources } from './targets.js';

/** Identifies one run of a task. At most one run of a task executes at any time. */
export interface RunKey {
  readonly jobId: JobId;
  readonly taskId: TaskId;
  /** Number of the run, raised with each start of the task. */
  readonly run: number;
}

/** Requirements of the tasks of a step on the workers that run the tasks. */
export interface RunRequirements extends WorkerResources {
  /** Label that the worker must have. */
  readonly label?: string | undefined;
}

/** One incarnation of a worker, as announced by its sidecar. */
export interface WorkerRun {
  readonly workerId: TargetId;
  /** Changes with each restart of the worker. */
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  readonly capacity: WorkerResources;
  /** The largest capacity so far, if it has changed in this incarnation: it may be as large again. */
  readonly largestCapacity?: WorkerResources | undefined;
  readonly labels: readonly string[];
  readonly dataCentre: DataCentreName;
}

/** Free resources and queued work of a worker, as counted by its sidecar. */
export interface WorkerLoad {
  readonly free: WorkerResources;
  /** Estimated queued work, in processor-milliseconds, indexed by priority. */
  readonly waitingWork: readonly number[];
  /**
   * Work started over the last second, in processor-milliseconds per millisecond, indexed by priority.
   * Absent from earlier versions and where the sidecar is not asked to report it.
   */
  readonly startedWork?: readonly number[] | undefined;
  /** Estimated remaining work of the executing runs, in processor-milliseconds. */
  readonly runningWork: number;
  /** Whether the worker accepts no further runs because it is draining or currently unresponsive. */
  readonly closed: boolean;
  /** Whether the worker is closed because its data centre is evacuated; absent from earlier versions. */
  readonly evacuated?: boolean | undefined;
}

/** Order from a dispatcher to run part of a job on one worker. */
export interface RunOrder {
  readonly jobId: JobId;
  /** Identifier of the caller's request, carried through all roles. */
  readonly requestId: string;
  readonly dispatcher: DispatcherId;
  readonly service: ServiceName;
  /** Queue of the job; absent from earlier versions. */
  readonly queue?: QueueName | undefined;
  /** Specification from the caller, passed to the worker unchanged. */
  readonly specification: string;
  readonly need: RunRequirements;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly estimatedMilliseconds: Milliseconds;
  /** Time left until the job should have ended; negative if the job is late. */
  readonly dueMilliseconds: Milliseconds;
  /** Time left until the deadline, after which the caller no longer waits for the job. */
  readonly remainingMilliseconds: Milliseconds;
  /** Whether tasks that cannot start at once are queued at the worker or, if false, given back. */
  readonly mayWait: boolean;
  /** Whether the tasks run only while no run of another job is active at the worker; absent from earlier versions. */
  readonly runsAlone?: boolean | undefined;
  /** The grant that the order uses; undefined where the dispatcher chose the worker by itself. */
  readonly grant?: GrantKey | undefined;
  readonly tasks: readonly { readonly taskId: TaskId; readonly run: number }[];
}

/** Outcome of a run. */
export enum RunOutcome {
  Done = 'done',
  /** The task or its worker failed. */
  Failed = 'failed',
  /** The run executed but was stopped or cut off before its end, and is no longer executing. */
  Interrupted = 'interrupted',
  /** The run never executed and never will. */
  NotStarted = 'not-started',
}

/** Reason why a run was not started, was interrupted or failed. */
export enum RunEndReason {
  /** The task reported a failure. */
  TaskFailed = 'task-failed',
  Cancelled = 'cancelled',
  Draining = 'draining',
  /** The worker crashed, left or was replaced. */
  WorkerGone = 'worker-gone',
  /** The worker did not answer, and the run cannot be executing any more. */
  WorkerSilent = 'worker-silent',
  /** The worker refused the run. */
  WorkerRefused = 'worker-refused',
  /** The lease of the worker expired before its renewal. */
  LeaseExpired = 'lease-expired',
  /** No message from the dispatcher arrived within its lease. */
  DispatcherSilent = 'dispatcher-silent',
  DeadlinePassed = 'deadline-passed',
  WrongService = 'wrong-service',
  /** The sidecar has no worker, or the worker can never hold the task. */
  NoCapacity = 'no-capacity',
  /** The worker is full, and the order did not allow queueing the run. */
  NoRoom = 'no-room',
  /** The sidecar process was suspended while the run was queued. */
  Suspended = 'suspended',
  /** The data centre of the worker is evacuated, or the sidecar does not know yet whether it is. */
  Evacuated = 'evacuated',
}

/** Report of the end of one run. */
export interface RunEnd extends RunKey {
  /** Identifier of the caller's request. */
  readonly requestId: string;
  readonly outcome: RunOutcome;
  readonly reason?: RunEndReason | undefined;
  /** Time from the arrival of the order at the sidecar to the start of the run. */
  readonly waitedMilliseconds: Milliseconds;
  /** Execution time. */
  readonly runMilliseconds: Milliseconds;
}

/** A run that makes no progress. */
export interface StalledRun extends RunKey {
  /** Time since the last progress of the run. */
  readonly stillMilliseconds: Milliseconds;
}

/** A dispatcher with which sidecars should open a session. */
export interface KnownDispatcher {
  readonly dispatcherId: DispatcherId;
  readonly address: NetworkAddress;
  /** Processors of its host; undefined when it did not say. */
  readonly processors?: number | undefined;
}

/** The dispatchers that a dispatcher knows from the roster. */
export interface DispatcherList {
  /** Version of the roster at which a dispatcher or an address last changed; 0 before the first roster. */
  readonly version: LogIndex;
  readonly dispatchers: readonly KnownDispatcher[];
}
