/**
 * Messages about runs between dispatchers and the sidecars of workers, and the leases that bound
 * runs.
 */
import type {
  DispatcherId,
  EvacuationState,
  EvacuationVersion,
  JobId,
  KnownDispatcher,
  LogIndex,
  Milliseconds,
  RunEnd,
  RunOrder,
  StalledRun,
  TaskId,
  WorkerCrash,
  WorkerLoad,
  WorkerRun,
} from '@cranberryturn/types';

/** Kinds of message about runs from a dispatcher to a sidecar. */
export enum ToWorkerKind {
  PlaceRuns = 'place',
  StopRuns = 'stop',
  /** Asks the sidecar to give back those of the named runs that are still queued. */
  ReturnRuns = 'return',
  /** Renews the lease of the dispatcher when there is no other message to send. */
  Heartbeat = 'beat',
  KnownDispatchers = 'dispatchers',
  /** The evacuated data centres; sent before any order where evacuations are enabled. */
  Evacuations = 'evacuations',
}

/** Fields of every message from a dispatcher. */
export interface ToWorkerHeader {
  /**
   * Newest stamp that the dispatcher received from this sidecar. The lease of the
   * dispatcher, within which its runs may execute, is counted from this stamp.
   */
  readonly echo: Milliseconds;
}

/** Body of a message about runs from a dispatcher to a sidecar. */
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
      /** Version of the roster at which this list last changed; undefined from earlier versions. */
      readonly version?: LogIndex | undefined;
      readonly dispatchers: readonly KnownDispatcher[];
    }
  | {
      readonly kind: ToWorkerKind.Evacuations;
      readonly state: EvacuationState;
      /** Whether control has proved its leadership to the dispatcher within `maximumProofAge`. */
      readonly isProved: boolean;
    };

/** A message about runs from a dispatcher to a sidecar. */
export type ToWorkerMessage = ToWorkerHeader & ToWorkerBody;

/** Kinds of message about runs from a sidecar to a dispatcher. */
export enum FromWorkerKind {
  /**
   * Announces the worker of this sidecar, or that none is ready. The worker no longer executes runs
   * of an earlier incarnation or of an earlier sidecar.
   */
  Announce = 'announce',
  RunsEnded = 'ended',
  /** Runs that make no progress. */
  StalledRuns = 'still',
  /** Crashes of the worker; recent ones are repeated to each dispatcher that connects. */
  WorkerCrashes = 'crashes',
  /** Shows that the sidecar is alive, and carries the load of its worker. */
  Heartbeat = 'beat',
  /** Last message of a session that the sidecar gives up; no run of the dispatcher is left at its worker. */
  Leave = 'leave',
  /** Names the dispatcher that coordinates the worker, and those that can reach it. */
  Coordination = 'coordination',
}

/** Fields of every message from a sidecar. */
export interface FromWorkerHeader {
  /** Monotonic time of the sidecar when the message was sent. */
  readonly stamp: Milliseconds;
  readonly load: WorkerLoad;
  /** Number of orders to place runs received in this session; `load` already includes these orders. */
  readonly orders: number;
  /** Version of the latest list of dispatchers that the sidecar has received; 0 before the first, undefined from earlier versions. */
  readonly dispatcherListVersion?: LogIndex | undefined;
  /** Highest version of the evacuation state that the sidecar has received; undefined before the first and from earlier versions. */
  readonly evacuationVersion?: EvacuationVersion | undefined;
  /** Grants of the receiver whose orders have arrived since the last message to it; `load` already includes these orders. */
  readonly grants?: readonly number[] | undefined;
}

/** Body of a message about runs from a sidecar to a dispatcher. */
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
  | {
      readonly kind: FromWorkerKind.WorkerCrashes;
      readonly crashes: readonly WorkerCrash[];
    }
  | { readonly kind: FromWorkerKind.Heartbeat | FromWorkerKind.Leave }
  | {
      readonly kind: FromWorkerKind.Coordination;
      /** Undefined while the sidecar has no connected dispatcher that can coordinate. */
      readonly coordinator: DispatcherId | undefined;
      /** The dispatchers that the sidecar has a connected session with. */
      readonly dispatchers: readonly DispatcherId[];
    };

/** A message about runs from a sidecar to a dispatcher. */
export type FromWorkerMessage = FromWorkerHeader & FromWorkerBody;
