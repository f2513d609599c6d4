/** The session of this dispatcher with one process of a sidecar. */
import type { LogIndex, Milliseconds, ServiceName } from '@cranberryturn/types';
import type {
  FromWorkerKind,
  FromWorkerMessage,
  PeerIdentity,
  ToWorkerMessage,
} from '@cranberryturn/wire';

import { createSidecarStamps, type SidecarStamps } from './echoed-stamps.js';
import {
  createEvacuationNotices,
  type EvacuationNotices,
} from './evacuation-notice.js';
import {
  type Coordination,
  isUsable,
  type KnownWorker,
  noCoordination,
} from './known-worker.js';

/** Number of a session, which no other session of this dispatcher has. */
export type SessionNumber = number;

/** The session with one process of a sidecar. */
export interface SidecarSession extends SidecarStamps {
  readonly number: SessionNumber;
  readonly peer: PeerIdentity;
  readonly send: (message: ToWorkerMessage) => void;
  known: KnownWorker | undefined;
  /** The coordination of its worker, which outlasts incarnations of the worker. */
  coordination: Coordination;
  /** Service of the worker announced last, which may be lost. */
  service: ServiceName | undefined;
  lastHeardAt: Milliseconds;
  lastSentAt: Milliseconds;
  /** Number of placement orders sent in this session. */
  orders: number;
  /** Version of the list of dispatchers that the sidecar is known to have. */
  listVersion: LogIndex;
  /** The state of evacuations as sent to the sidecar and confirmed by it. */
  readonly evacuations: EvacuationNotices;
  /** False once the session has ended; the runs at its worker are kept until the lease expires. */
  isOpen: boolean;
}

/** Creates the state of a session that opens now. */
export function createSidecarSession(
  number: SessionNumber,
  peer: PeerIdentity,
  send: (message: ToWorkerMessage) => void,
  now: Milliseconds,
): SidecarSession {
  return {
    number,
    peer,
    send,
    known: undefined,
    coordination: noCoordination,
    service: undefined,
    ...createSidecarStamps(),
    lastHeardAt: now,
    lastSentAt: now,
    orders: 0,
    listVersion: 0,
    evacuations: createEvacuationNotices(),
    isOpen: true,
  };
}

/**
 * Lists the sessions with earlier processes of the sidecar, which announces a worker only once no run of them is active
 * there. An earlier session with the same process is kept until its runs have ended.
 */
export function listEarlierProcesses(
  sessions: Iterable<SidecarSession>,
  { peer }: SidecarSession,
): readonly SidecarSession[] {
  return [...sessions].filter(
    other =>
      other.peer.name === peer.name &&
      other.peer.incarnation !== peer.incarnation,
  );
}

/** Counts the workers of open sessions that accept tasks now. */
export function countUsable(
  sessions: Iterable<SidecarSession>,
  now: Milliseconds,
): number {
  let usable = 0;
  for (const { known, isOpen } of sessions) {
    if (isOpen && known !== undefined && isUsable(known, now)) usable += 1;
  }
  return usable;
}

/** Records which dispatcher coordinates the worker of the sidecar, and which can place tasks on it. */
export function updateCoordination(
  session: SidecarSession,
  { coordinator, dispatchers }: CoordinationMessage,
): void {
  session.coordination = {
    // The codec may decode a missing value as null.
    coordinator: coordinator ?? undefined,
    dispatchers: new Set(dispatchers),
  };
  if (session.known !== undefined)
    session.known.coordination = session.coordination;
}

type CoordinationMessage = Extract<
  FromWorkerMessage,
  { kind: FromWorkerKind.Coordination }
>;
