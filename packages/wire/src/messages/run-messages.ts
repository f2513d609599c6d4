import type {
  JobId,
  KnownDispatcher,
  Milliseconds,
  RunEnd,
  RunOrder,
  StalledRun,
  TaskId,
  WorkerLoad,
  WorkerRun,
} from '@cranberryturn/types';

/** The kinds of message about runs from a dispatcher to a sidecar. */
export enum ToWorkerKind {
  PlaceRuns = 'place',
  StopRuns = 'stop',
  /** Gives back those of some runs that still wait. */
  ReturnRuns = 'return',
  /** Renews the lease of the dispatcher when nothing else does. */
  Heartbeat = 'beat',
  KnownDispatchers = 'dispatchers',
}

/** Every message from a dispatcher. */
export interface ToWorkerHeader {
  /**
   * Newest stamp that the dispatcher received from this sidecar. Runs of the
   * dispatcher may be at work until its lease, counted from this stamp, ends.
   */
  readonly echo: Milliseconds;
}

/** What a dispatcher tells a sidecar about runs. */
export type ToWorkerBody =
  | { readonly kind: ToWorkerKind.PlaceRuns; readonly order: RunOrder }
  | {
      readonly kind: ToWorkerKind.StopRuns | ToWorkerKind.ReturnRuns;
      readonly jobId: JobId;
      readonly taskIds: readonly TaskId[];
    }
  | { readonly kind: ToWorkerKind.Heartbeat }
  | {
      readonly kind: ToWorkerKind.KnownDispatchers;
      readonly dispatchers: readonly KnownDispatcher[];
    };

/** A message about runs from a dispatcher to a sidecar. */
export type ToWorkerMessage = ToWorkerHeader & ToWorkerBody;

/** The kinds of message about runs from a sidecar to a dispatcher. */
export enum FromWorkerKind {
  /** The worker of this sidecar, which runs nothing of an earlier life or sidecar; or that none is ready. */
  Announce = 'announce',
  RunsEnded = 'ended',
  /** Runs that make no progress. */
  StalledRuns = 'still',
  /** Shows that the sidecar is there, and what its worker has free. */
  Heartbeat = 'beat',
}

/** Every message from a sidecar. */
export interface FromWorkerHeader {
  /** Steady time of the sidecar when it sent the message. */
  readonly stamp: Milliseconds;
  readonly load: WorkerLoad;
  /** Orders to place runs that the sidecar took in during this session: the load counts them. */
  readonly orders: number;
}

/** What a sidecar tells a dispatcher about runs. */
export type FromWorkerBody =
  | {
      readonly kind: FromWorkerKind.Announce;
      readonly worker: WorkerRun | undefined;
    }
  | {
      readonly kind: FromWorkerKind.RunsEnded;
      readonly ends: readonly RunEnd[];
    }
  | {
      readonly kind: FromWorkerKind.StalledRuns;
      readonly runs: readonly StalledRun[];
    }
  | { readonly kind: FromWorkerKind.Heartbeat };

/** A message about runs from a sidecar to a dispatcher. */
export type FromWorkerMessage = FromWorkerHeader & FromWorkerBody;

/**
 * Time, counted from the last stamp heard, after which a dispatcher takes the runs of a
 * silent sidecar as ended. Callers come back 1,300 ms after a broken connection at the
 * earliest, and a task must not be at work twice then.
 */
export const dispatcherLease: Milliseconds = 1_250;

/** The sidecar has stopped the runs of a silent dispatcher this long before the dispatcher takes them as ended. */
export const leaseStopMargin: Milliseconds = 200;

/** Longest time without a message while a run waits or is at work. */
export const runHeartbeatInterval: Milliseconds = 250;
