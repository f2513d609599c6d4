/** Accepting side of sessions: one session per peer, replaced when the peer restarts or opens another one. */
import type { TimerService } from '@cranberryturn/timers';
import type { Connection, PeerIdentity, ShapeCheck } from '@cranberryturn/wire';

import { readOpenFrame, sendOpenFrame } from './exchange-open-frames.js';
import { Session } from './session.js';
import { SessionEndReason, type StartSession } from './session-types.js';
import type { SessionTimes } from './session-liveness.js';

/** Dependencies and settings of the accepting side. */
export interface AcceptSessionsOptions<Outgoing, Incoming> {
  readonly timers: TimerService;
  readonly times: SessionTimes;
  /** Checks each decoded message; all are accepted by default. */
  readonly isMessage?: ShapeCheck | undefined;
  readonly startSession: StartSession<Outgoing, Incoming>;
}

/** Accepting side of sessions. */
export interface SessionAcceptor<Outgoing, Incoming> {
  /** Serves a connection until it ends; closes it if the peer does not open a session. */
  acceptConnection(connection: Connection): Promise<void>;
  sessions(): readonly Session<Outgoing, Incoming>[];
  /** Ends the session with this incarnation of the peer; does nothing for an unknown one. */
  endSession(peer: PeerIdentity): void;
  /** Ends all sessions. */
  close(): void;
}

/**
 * Creates the accepting side. A connection with a known incarnation and session
 * number resumes that session.
 */
export function acceptSessions<Outgoing, Incoming>(
  options: AcceptSessionsOptions<Outgoing, Incoming>,
): SessionAcceptor<Outgoing, Incoming> {
  const sessionsByPeerName = new Map<string, Session<Outgoing, Incoming>>();

  const findOrCreateSession = (
    peer: PeerIdentity,
    session: number,
  ): Session<Outgoing, Incoming> => {
    const known = sessionsByPeerName.get(peer.name);
    const isSameRun = known?.peer.incarnation === peer.incarnation;
    if (isSameRun && known.session === session) return known;
    if (isSameRun) known.end(SessionEndReason.Replaced);
    const created = new Session<Outgoing, Incoming>({
      peer,
      session,
      timers: options.timers,
      times: options.times,
      isMessage: options.isMessage,
      startSession: options.startSession,
    });
    sessionsByPeerName.set(peer.name, created);
    known?.end(SessionEndReason.PeerRestarted);
    return created;
  };

  const acceptConnection = async (connection: Connection): Promise<void> => {
    const frames = connection
      .receive()
      [Symbol.asyncIterator]() as AsyncIterableIterator<Uint8Array>;
    const open = await readOpenFrame(connection, frames);
    if (open.isErr()) {
      connection.close();
      return;
    }
    const session = findOrCreateSession(connection.peer, open.value.session);
    sendOpenFrame(connection, session);
    await session.serveConnection(connection, frames, open.value.received);
  };

  const endSession = (peer: PeerIdentity): void => {
    const known = sessionsByPeerName.get(peer.name);
    if (known?.peer.incarnation !== peer.incarnation) return;
    sessionsByPeerName.delete(peer.name);
    known.end(SessionEndReason.ClosedHere);
  };

  return {
    acceptConnection,
    endSession,
    sessions: () => [...sessionsByPeerName.values()],
    close: () => {
      for (const session of sessionsByPeerName.values()) {
        session.end(SessionEndReason.ClosedHere);
      }
    },
  };
}
