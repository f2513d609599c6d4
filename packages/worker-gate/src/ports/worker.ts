/** Port to the worker on which a gate executes runs. */
import type {
  ConnectionError,
  CorruptionError,
  TimeoutError,
} from '@cranberryturn/errors';
import type { JobId, Milliseconds, RunKey, TaskId } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** Common part of all orders to a worker. */
export interface WorkerOrder {
  /** The worker refuses a token lower than the highest one received. */
  readonly fencingToken: number;
  /** Time after which the order counts as unanswered, on top of the wait that it asks for; 250 ms by default. */
  readonly replyTimeout?: Milliseconds | undefined;
}

/** Starts one run. */
export interface StartRunOrder extends WorkerOrder, RunKey {
  readonly specification: string;
  /** Time on the clock of the worker, in milliseconds, after which the order is refused. Also extends the lease. */
  readonly deadline: Milliseconds;
}

/** Stops one run. A start order for the run that arrives later is refused. */
export interface StopRunOrder extends WorkerOrder, RunKey {}

/** Renews the lease of all active runs, and reads the active and ended runs. */
export interface RenewOrder extends WorkerOrder {
  /** End of the lease on the clock of the worker, in milliseconds; undefined leaves the lease as it is. */
  readonly deadline: Milliseconds | undefined;
  /** Ends up to this sequence number were processed; the worker need not list them again. */
  readonly acknowledgedSequence: number;
  /** Maximum time that the worker waits for a run to end before the reply (long poll). */
  readonly waitMilliseconds: Milliseconds;
}

/** Why a worker refused an order. A refused order has had no effect. */
export enum WorkerRefusal {
  /** The worker has received a higher fencing token. */
  Fenced = 'fenced',
  /** The run, or a later run of the task, was already stopped or has ended. */
  OldRun = 'old-run',
  /** The deadline of the order had passed. */
  Late = 'late',
  /** The task does not fit into the free capacity of the worker. */
  NoRoom = 'no-room',
  /** The worker accepts no orders at present. */
  Unhealthy = 'unhealthy',
  /** Another incarnation of the worker replied. */
  OtherIncarnation = 'other-life',
  /** The worker does not understand the order. */
  Invalid = 'invalid',
}

/** A refused order. `clock` is the clock of the worker; undefined when the reply does not say. */
export interface RefusedReply {
  readonly accepted: false;
  readonly refusal: WorkerRefusal;
  readonly clock?: Milliseconds | undefined;
}

/** Reply to an order that starts or stops a run. `clock` is the clock of the worker. */
export type WorkerReply =
  { readonly accepted: true; readonly clock: Milliseconds } | RefusedReply;

/** Outcome of a run as its worker reports it. */
export enum WorkerRunOutcome {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease expired, and the worker stopped the run. */
  Expired = 'expired',
}

/** A run that has ended. */
export interface EndedRun extends RunKey {
  /** Sequence number of the end, from 1 in each incarnation of the worker. */
  readonly sequence: number;
  readonly end: WorkerRunOutcome;
}

/** An active run. */
export interface RunningRun extends RunKey {
  /** Completed share of the work, from 0 to 1. */
  readonly progress: number;
}

/** Clock and runs of a worker. */
export interface WorkerStatus {
  readonly clock: Milliseconds;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
  /** Whether entries of the lists could not be read: a run that is not listed may be active then. */
  readonly isPartial?: boolean | undefined;
}

/** Reply to a renewal. */
export type RenewReply =
  { readonly accepted: true; readonly status: WorkerStatus } | RefusedReply;

/** Error of an order without a reply. The worker may have executed the order, or may do so later. */
export type WorkerCallError = ConnectionError | TimeoutError | CorruptionError;

/** Sends orders to one incarnation of one worker. */
export interface WorkerPort {
  startRun(order: StartRunOrder): ResultAsync<WorkerReply, WorkerCallError>;
  stopRun(order: StopRunOrder): ResultAsync<WorkerReply, WorkerCallError>;
  renewLease(order: RenewOrder): ResultAsync<RenewReply, WorkerCallError>;
  close(): void;
}

/** Composes the name of a task, which all its runs share. */
export function nameTask(jobId: JobId, taskId: TaskId): string {
  return `${jobId}.${taskId}`;
}

/** Composes the name of one run of a task. */
export function nameRun({ jobId, taskId, run }: RunKey): string {
  return `${nameTask(jobId, taskId)}.${String(run)}`;
}
