/** Counts the messages of sessions that did no useful work. */
import { type Metrics, WastedMessage } from '@cranberryturn/metrics';

/** A session whose counts stay readable after it ended. */
export interface CountedSession {
  readonly counts: {
    readonly heartbeatsSent: number;
    readonly messagesResent: number;
  };
}

/** Adds the counts of all sessions, also of those that ended, to the wasted messages. */
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
