import type {
  DataCentreName,
  DispatcherId,
  Incarnation,
  JobId,
  Milliseconds,
  ServiceName,
  TargetId,
  TaskId,
} from './identifiers.js';
import type { NetworkAddress, WorkerResources } from './targets.js';

/** Names one run of a task. At most one run of a task is at work at any time. */
export interface RunKey {
  readonly jobId: JobId;
  readonly taskId: TaskId;
  /** Number of the run; rises with each start of the task. */
  readonly run: number;
}

/** What the tasks of a step ask of the workers that run them. */
export interface RunRequirements extends WorkerResources {
  /** Label that the worker must have. */
  readonly label?: string | undefined;
}

/** One life of a worker, as its sidecar announces it. */
export interface WorkerRun {
  readonly workerId: TargetId;
  /** Identifies this life of the worker: a restarted worker has another one. */
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  readonly capacity: WorkerResources;
  readonly labels: readonly string[];
  readonly dataCentre: DataCentreName;
}

/** What a worker has free and what waits there, as its sidecar counts it. */
export interface WorkerLoad {
  readonly free: WorkerResources;
  /** Estimated work that waits, in processor-milliseconds, by priority. */
  readonly waitingWork: readonly number[];
  /** Estimated work left of what runs, in processor-milliseconds. */
  readonly runningWork: number;
  /** Whether the worker accepts no further run: it drains, or does not answer at present. */
  readonly closed: boolean;
}

/** The part of a job that one worker is asked to run. */
export interface RunOrder {
  readonly jobId: JobId;
  /** Identifier of the caller's request, carried through all roles. */
  readonly requestId: string;
  readonly dispatcher: DispatcherId;
  readonly service: ServiceName;
  /** Passed to the worker as it came from the caller. */
  readonly specification: string;
  readonly need: RunRequirements;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly estimatedMilliseconds: Milliseconds;
  /** Time left until the job should have ended; less than 0 when it is late. */
  readonly dueMilliseconds: Milliseconds;
  /** Time left until nobody waits for the job any more. */
  readonly remainingMilliseconds: Milliseconds;
  /** Whether tasks that cannot start at once wait at the worker; otherwise they are given back. */
  readonly mayWait: boolean;
  readonly tasks: readonly { readonly taskId: TaskId; readonly run: number }[];
}

/** How a run ended. */
export enum RunOutcome {
  Done = 'done',
  /** The task or its worker failed. */
  Failed = 'failed',
  /** It was at work and was stopped or cut off before it ended; nothing of it runs any more. */
  Interrupted = 'interrupted',
  /** It was never at work, and never will be. */
  NotStarted = 'not-started',
}

/** Why a run was not started, was interrupted or failed. */
export enum RunEndReason {
  /** The task reported a failure. */
  TaskFailed = 'task-failed',
  Cancelled = 'cancelled',
  Draining = 'draining',
  /** The worker crashed, left or was replaced. */
  WorkerGone = 'worker-gone',
  /** The worker did not answer, and nothing can be at work there any more. */
  WorkerSilent = 'worker-silent',
  /** The worker refused the run. */
  WorkerRefused = 'worker-refused',
  /** The lease of the worker ended before it was renewed. */
  LeaseExpired = 'lease-expired',
  /** The dispatcher was not heard for its lease. */
  DispatcherSilent = 'dispatcher-silent',
  DeadlinePassed = 'deadline-passed',
  WrongService = 'wrong-service',
  /** No worker is known to this sidecar, or it can never hold the task. */
  NoCapacity = 'no-capacity',
  /** The worker is full, and the order did not allow the run to wait. */
  NoRoom = 'no-room',
  /** The sidecar was suspended while the run waited. */
  Suspended = 'suspended',
}

/** How one run ended at its worker. */
export interface RunEnd extends RunKey {
  /** Identifier of the caller's request. */
  readonly requestId: string;
  readonly outcome: RunOutcome;
  readonly reason?: RunEndReason | undefined;
  /** Time from its arrival at the sidecar to its start. */
  readonly waitedMilliseconds: Milliseconds;
  /** Time at work. */
  readonly runMilliseconds: Milliseconds;
}

/** A run that makes no progress. */
export interface StalledRun extends RunKey {
  /** Time since its last progress. */
  readonly stillMilliseconds: Milliseconds;
}

/** A dispatcher that sidecars should have a session with. */
export interface KnownDispatcher {
  readonly dispatcherId: DispatcherId;
  readonly address: NetworkAddress;
}
