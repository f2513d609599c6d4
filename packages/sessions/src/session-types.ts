/** Options, listener and counters of sessions. */
import type { TimerService } from '@cranberryturn/timers';
import type { PeerIdentity, ShapeCheck } from '@cranberryturn/wire';

import type { SessionTimes } from './session-liveness.js';

/** Reason for the end of a session. */
export enum SessionEndReason {
  /** The peer restarted with a new incarnation, which does not know the session. */
  PeerRestarted = 'peer-restarted',
  /** The peer opened another session. */
  Replaced = 'replaced',
  /** This process closed the session. */
  ClosedHere = 'closed-here',
}

/** Callbacks for the events of a session. */
export interface SessionListener<Incoming> {
  /** Called once for each message of the peer, in order. */
  messageReceived(message: Incoming): void;
  /** The session is connected, or heard again after a suspicion. */
  connected(): void;
  /** The peer is silent or the connection ended. Unacknowledged messages are sent again after a reconnect. */
  suspected(): void;
  /** Returns whether work with the peer is in flight, so that the active interval applies. */
  hasWork?(): boolean;
  /** The session ended; no further message follows. */
  ended(reason: SessionEndReason): void;
}

/** Counters of one session since its start. */
export interface SessionCounts {
  readonly framesSent: number;
  readonly heartbeatsSent: number;
  readonly messagesSent: number;
  readonly messagesResent: number;
  readonly duplicatesReceived: number;
  readonly connections: number;
}

/** Dependencies and settings of a session. */
export interface SessionOptions<Outgoing, Incoming> {
  readonly peer: PeerIdentity;
  /** Session number chosen by the dialling side. */
  readonly session: number;
  readonly timers: TimerService;
  readonly times: SessionTimes;
  /** Checks each decoded message; all are accepted by default. */
  readonly isMessage?: ShapeCheck | undefined;
  readonly startSession: StartSession<Outgoing, Incoming>;
}

/** Called for each new session, before its first message. The callback may send at once. */
export type StartSession<Outgoing, Incoming> = (
  peer: PeerIdentity,
  send: (message: Outgoing) => void,
) => SessionListener<Incoming>;
