/** What a session is built from and what it tells. */
import type { TimerService } from '@cranberryturn/timers';
import type { PeerIdentity } from '@cranberryturn/wire';

import type { SessionTimes } from './session-liveness.js';

/** Why a session ended. */
export enum SessionEndReason {
  /** The peer runs again with a new incarnation and has forgotten the session. */
  PeerRestarted = 'peer-restarted',
  /** The peer opened another session. */
  Replaced = 'replaced',
  /** This process closed the session. */
  ClosedHere = 'closed-here',
}

/** Hears what happens in a session. */
export interface SessionListener<Incoming> {
  /** Called once for each message of the peer, in order. */
  messageReceived(message: Incoming): void;
  /** A connection carries the session, for the first time or again. */
  connected(): void;
  /** The peer is silent or the connection ended; nothing is lost yet. */
  suspected(): void;
  /** Whether work is in flight here whose peer must be watched closely. */
  hasWork?(): boolean;
  /** No further message will arrive. */
  ended(reason: SessionEndReason): void;
}

/** Counts of one session. */
export interface SessionCounts {
  readonly framesSent: number;
  readonly heartbeatsSent: number;
  readonly messagesSent: number;
  readonly messagesResent: number;
  readonly duplicatesReceived: number;
  readonly connections: number;
}

/** What a session is built from. */
export interface SessionOptions<Outgoing, Incoming> {
  readonly peer: PeerIdentity;
  /** Number that the dialling end chose. */
  readonly session: number;
  readonly timers: TimerService;
  readonly times: SessionTimes;
  readonly startSession: StartSession<Outgoing, Incoming>;
}

/** Called for each new run of a peer, before its first message. It may already send. */
export type StartSession<Outgoing, Incoming> = (
  peer: PeerIdentity,
  send: (message: Outgoing) => void,
) => SessionListener<Incoming>;
