/** The accepting end of sessions: one session for each run of each peer. */
import type { TimerService } from '@cranberryturn/timers';
import type { Connection, PeerIdentity } from '@cranberryturn/wire';

import { readOpenFrame, sendOpenFrame } from './exchange-open-frames.js';
import { Session } from './session.js';
import { SessionEndReason, type StartSession } from './session-types.js';
import type { SessionTimes } from './session-liveness.js';

/** What the accepting end is built from. */
export interface AcceptSessionsOptions<Outgoing, Incoming> {
  readonly timers: TimerService;
  readonly times: SessionTimes;
  readonly startSession: StartSession<Outgoing, Incoming>;
}

/** The accepting end of sessions. */
export interface SessionAcceptor<Outgoing, Incoming> {
  /** Serves a connection until it ends. */
  acceptConnection(connection: Connection): Promise<void>;
  sessions(): readonly Session<Outgoing, Incoming>[];
  /** Ends the session with a run that has left it. */
  endSession(peer: PeerIdentity): void;
  /** Ends all sessions. */
  close(): void;
}

/** Accepts sessions. A connection of a known run resumes its session. */
export function acceptSessions<Outgoing, Incoming>(
  options: AcceptSessionsOptions<Outgoing, Incoming>,
): SessionAcceptor<Outgoing, Incoming> {
  const byPeer = new Map<string, Session<Outgoing, Incoming>>();

  const sessionWith = (
    peer: PeerIdentity,
    session: number,
  ): Session<Outgoing, Incoming> => {
    const known = byPeer.get(peer.name);
    const isSameRun = known?.peer.incarnation === peer.incarnation;
    if (isSameRun && known.session === session) return known;
    if (isSameRun) known.end(SessionEndReason.Replaced);
    const created = new Session<Outgoing, Incoming>({
      peer,
      session,
      timers: options.timers,
      times: options.times,
      startSession: options.startSession,
    });
    byPeer.set(peer.name, created);
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
    const session = sessionWith(connection.peer, open.value.session);
    sendOpenFrame(connection, session);
    await session.serveConnection(connection, frames, open.value.received);
  };

  const forget = (peer: PeerIdentity): void => {
    const known = byPeer.get(peer.name);
    if (known?.peer.incarnation !== peer.incarnation) return;
    byPeer.delete(peer.name);
    known.end(SessionEndReason.ClosedHere);
  };

  return {
    acceptConnection,
    endSession: forget,
    sessions: () => [...byPeer.values()],
    close: () => {
      for (const session of byPeer.values()) {
        session.end(SessionEndReason.ClosedHere);
      }
    },
  };
}
