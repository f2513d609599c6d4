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
    sumOverSessions(listSessions, one => one.counts.heartbeatsSent),
  );
  metrics.registerWastedCount(
    WastedMessage.Retransmission,
    sumOverSessions(listSessions, one => one.counts.messagesResent),
  );
}

function sumOverSessions(
  listSessions: () => readonly CountedSession[],
  read: (session: CountedSession) => number,
): () => number {
  let ended = 0;
  let known: ReadonlySet<CountedSession> = new Set();
  return () => {
    const current = new Set(listSessions());
    for (const session of known) {
      if (!current.has(session)) ended += read(session);
    }
    known = current;
    return [...current].reduce((sum, one) => sum + read(one), ended);
  };
}
