/** Counts the heartbeats and retransmissions of sessions as wasted messages. */
import { type Metrics, WastedMessage } from '@cranberryturn/metrics';

/** Message counts of a session; must stay readable after the session ended. */
export interface CountedSession {
  readonly counts: {
    readonly heartbeatsSent: number;
    readonly messagesResent: number;
  };
}

/** Registers the message counts of all sessions, including ended ones, with the wasted messages. */
export function registerWastedSessionMessages(
  metrics: Metrics,
  listSessions: () => readonly CountedSession[],
): void {
  metrics.registerWastedCount(
    WastedMessage.Heartbeat,
    sumOverSessions(listSessions, session => session.counts.heartbeatsSent),
  );
  metrics.registerWastedCount(
    WastedMessage.Retransmission,
    sumOverSessions(listSessions, session => session.counts.messagesResent),
  );
}

/** A session that is missing from the list has ended; its final count stays in the sum. */
function sumOverSessions(
  listSessions: () => readonly CountedSession[],
  read: (session: CountedSession) => number,
): () => number {
  let endedSessionsSum = 0;
  let knownSessions: ReadonlySet<CountedSession> = new Set();
  return () => {
    const currentSessions = new Set(listSessions());
    for (const session of knownSessions) {
      if (!currentSessions.has(session)) endedSessionsSum += read(session);
    }
    knownSessions = currentSessions;
    return [...currentSessions].reduce(
      (sum, session) => sum + read(session),
      endedSessionsSum,
    );
  };
}
