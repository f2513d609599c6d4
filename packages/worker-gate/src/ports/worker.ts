/** The worker that a gate runs tasks on. */
import type {
  ConnectionError,
  CorruptionError,
  TimeoutError,
} from '@cranberryturn/errors';
import type { JobId, Milliseconds, RunKey, TaskId } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** Every order to a worker. */
export interface WorkerOrder {
  /** The worker does nothing for a token lower than the highest it has seen. */
  readonly fencingToken: number;
}

/** Asks a worker to start one run. */
export interface StartRunOrder extends WorkerOrder, RunKey {
  readonly specification: string;
  /** Time on the clock of the worker after which it refuses the order; also extends its lease. */
  readonly deadline: Milliseconds;
}

/** Asks a worker to stop one run. A run that is not there yet is refused from then on. */
export interface StopRunOrder extends WorkerOrder, RunKey {}

/** Renews the lease of everything that is at work, and reads what is at work and what ended. */
export interface RenewOrder extends WorkerOrder {
  /** End of the lease on the clock of the worker. */
  readonly deadline: Milliseconds;
  /** Ends up to this number were taken note of. */
  readonly acknowledgedSequence: number;
  /** Longest time that the worker waits for an end before it answers. */
  readonly waitMilliseconds: Milliseconds;
}

/** Why a worker refused an order, having done nothing. */
export enum WorkerRefusal {
  /** A higher fencing token was seen. */
  Fenced = 'fenced',
  /** That run, or a later one of the task, was stopped or ended there. */
  OldRun = 'old-run',
  /** The deadline of the order had passed. */
  Late = 'late',
  /** The worker guards its capacity, and the task does not fit. */
  NoRoom = 'no-room',
  /** The worker takes no orders at present. */
  Unhealthy = 'unhealthy',
  /** Another life of the worker answered. */
  OtherIncarnation = 'other-life',
  /** The worker does not understand the order. */
  Invalid = 'invalid',
}

/** The answer to an order that starts or stops a run. */
export type WorkerReply =
  | { readonly accepted: true; readonly clock: Milliseconds }
  | { readonly accepted: false; readonly refusal: WorkerRefusal };

/** How a run ended at its worker. */
export enum WorkerRunOutcome {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease expired. */
  Expired = 'expired',
}

/** A run that ended. */
export interface EndedRun extends RunKey {
  /** Number of the end, from 1 in each life of the worker. */
  readonly sequence: number;
  readonly end: WorkerRunOutcome;
}

/** A run at work. */
export interface RunningRun extends RunKey {
  /** Part of its work that is done, from 0 to 1. */
  readonly progress: number;
}

/** What a worker tells of its runs. */
export interface WorkerStatus {
  readonly clock: Milliseconds;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
}

/** The answer to a renewal. */
export type RenewReply =
  | { readonly accepted: true; readonly status: WorkerStatus }
  | { readonly accepted: false; readonly refusal: WorkerRefusal };

/** An order without an answer; it may have been carried out, or may be later. */
export type WorkerCallError = ConnectionError | TimeoutError | CorruptionError;

/** Orders to one life of one worker. */
export interface WorkerPort {
  startRun(order: StartRunOrder): ResultAsync<WorkerReply, WorkerCallError>;
  stopRun(order: StopRunOrder): ResultAsync<WorkerReply, WorkerCallError>;
  renewLease(order: RenewOrder): ResultAsync<RenewReply, WorkerCallError>;
  close(): void;
}

/** The name of a task, over all its runs. */
export function nameTask(jobId: JobId, taskId: TaskId): string {
  return `${jobId}.${taskId}`;
}
