/** Handles heartbeats and append messages of the leader. */
import type { LogIndex, Milliseconds, ReplicaId } from '@cranberryturn/types';

import type { LogEntry, LogPosition } from '../entries.js';
import {
  PeerReplyKind,
  type AppendEntriesMessage,
  type HeartbeatMessage,
  type PeerReply,
} from '../ports/peer-link.js';
import { stoppedReply } from './replies.js';
import type { Replica } from './replica.js';

/** Handles a heartbeat. The reply waits for the term to be synced, never for the log. */
export async function handleHeartbeat(
  replica: Replica,
  from: ReplicaId,
  message: HeartbeatMessage,
): Promise<PeerReply> {
  replica.observeTerm(message.term);
  if (message.term === replica.term) {
    replica.followLeader(from);
    replica.commitUpTo(message.commitIndex);
    recordProof(replica, message);
  }
  const { term } = replica;
  if (!(await replica.awaitHardState())) return stoppedReply(replica);
  return {
    kind: PeerReplyKind.HeartbeatAnswer,
    term,
    stamp: { startedAt: replica.startedAt, at: replica.now() },
  };
}

function recordProof(replica: Replica, message: HeartbeatMessage): void {
  const provedAt = findProofTime(replica, message);
  // Heartbeats may overtake each other, and arrive twice.
  if (
    provedAt === undefined ||
    provedAt <= (replica.leaderProvedAt ?? -Infinity)
  )
    return;
  replica.leaderProvedAt = provedAt;
  const index = message.provedIndex ?? message.commitIndex;
  // Committed entries are applied at once.
  replica.stateProof.record({ provedAt, index }, replica.commitIndex);
}

/**
 * Returns when a quorum was last known to follow the leader, on the clock of this replica. It is counted from a stamp that
 * the leader has echoed, as a heartbeat may have been on its way, or unread in this process, for any time.
 */
function findProofTime(
  replica: Replica,
  { echo, proofAge }: HeartbeatMessage,
): Milliseconds | undefined {
  if (echo === undefined) return replica.now() - proofAge;
  if (echo?.startedAt !== replica.startedAt) return undefined;
  return Math.min(replica.now(), echo.at + echo.provedAfter);
}

/** Stores entries that continue the log. A success is replied only once they are synced. */
export async function handleAppendEntries(
  replica: Replica,
  from: ReplicaId,
  message: AppendEntriesMessage,
): Promise<PeerReply> {
  replica.observeTerm(message.term);
  if (message.term < replica.term) {
    return await answer(replica, false, replica.commitIndex);
  }
  replica.followLeader(from);
  const highestPossibleMatch = findHighestPossibleMatch(
    replica,
    message.previous,
  );
  if (highestPossibleMatch !== undefined)
    return await answer(replica, false, highestPossibleMatch);
  storeNewEntries(replica, message.entries);
  const matchIndex = message.previous.index + message.entries.length;
  replica.commitUpTo(Math.min(message.commitIndex, matchIndex));
  const synced = await replica.store.whenSynced();
  if (synced.isErr()) return stoppedReply(replica);
  const isCurrent = replica.term === message.term;
  return await answer(replica, isCurrent, matchIndex);
}

async function answer(
  replica: Replica,
  success: boolean,
  matchIndex: LogIndex,
): Promise<PeerReply> {
  const { term } = replica;
  if (!(await replica.awaitHardState())) return stoppedReply(replica);
  return { kind: PeerReplyKind.AppendAnswer, term, success, matchIndex };
}

/** Returns undefined when `previous` matches the log, otherwise the highest index that may match. */
function findHighestPossibleMatch(
  replica: Replica,
  previous: LogPosition,
): LogIndex | undefined {
  const { store, commitIndex } = replica;
  if (previous.index <= commitIndex) return undefined;
  if (previous.index > store.last.index) return store.last.index;
  const conflictTerm = store.termAt(previous.index);
  if (conflictTerm === previous.term) return undefined;
  let index = previous.index - 1;
  while (index > commitIndex && store.termAt(index) === conflictTerm) {
    index -= 1;
  }
  return Math.max(index, commitIndex);
}

/** Skips entries that are already stored. Only a conflict discards stored entries. */
function storeNewEntries(replica: Replica, entries: readonly LogEntry[]): void {
  const { store, commitIndex } = replica;
  const firstNew = entries.findIndex(
    entry =>
      entry.index > commitIndex && store.termAt(entry.index) !== entry.term,
  );
  if (firstNew === -1) return;
  void store.append(entries.slice(firstNew));
}
