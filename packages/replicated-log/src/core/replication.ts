/** Replication: one loop per peer sends entries, or a snapshot when the entries were compacted. */
import {
  PeerMessageKind,
  PeerReplyKind,
  type AppendAnswer,
} from '../ports/peer-link.js';
import type { Leadership } from './leadership.js';
import { callPeer } from './peer-calls.js';
import type { PeerProgress } from './peer-progress.js';
import type { Replica } from './replica.js';
import { sendSnapshot } from './snapshot-sender.js';

/** Replicates the log to one peer until the leadership ends. */
export async function replicateToPeer(
  replica: Replica,
  leadership: Leadership,
  peer: PeerProgress,
): Promise<void> {
  while (leadership.isActive && peer.isActive) {
    if (peer.matchIndex >= replica.store.last.index) {
      await peer.entriesAvailable.wait();
      continue;
    }
    const answered =
      peer.nextIndex <= replica.store.base.index
        ? await sendSnapshot(replica, leadership, peer)
        : await sendEntries(replica, leadership, peer);
    if (answered || !leadership.isActive) continue;
    await peer.retryInterrupted.wait(replica.tuning.heartbeatInterval);
  }
}

/** Sends the next batch of entries. Returns false when the next attempt should wait for the retry delay. */
async function sendEntries(
  replica: Replica,
  leadership: Leadership,
  peer: PeerProgress,
): Promise<boolean> {
  const { store } = replica;
  const previousIndex = peer.nextIndex - 1;
  const sentAt = replica.now();
  const reply = await callPeer(replica, peer.replicaId, {
    kind: PeerMessageKind.AppendEntries,
    to: peer.replicaId,
    term: leadership.term,
    previous: { index: previousIndex, term: store.termAt(previousIndex) ?? 0 },
    entries: store.readFrom(peer.nextIndex, replica.tuning.maximumBatchBytes),
    commitIndex: replica.commitIndex,
  });
  if (!leadership.isActive) return false;
  if (reply.isErr()) return false;
  if (reply.value.kind !== PeerReplyKind.AppendAnswer) return false;
  replica.observeTerm(reply.value.term);
  if (reply.value.term !== leadership.term) return false;
  peer.recordContact(sentAt);
  return recordAppendAnswer(leadership, peer, reply.value);
}

/** Returns false when the reply brings no progress, so that an immediate retry would not help. */
function recordAppendAnswer(
  leadership: Leadership,
  peer: PeerProgress,
  answer: AppendAnswer,
): boolean {
  if (!answer.success) {
    const previousNextIndex = peer.nextIndex;
    peer.nextIndex = Math.max(peer.matchIndex, answer.matchIndex) + 1;
    return peer.nextIndex < previousNextIndex;
  }
  peer.matchIndex = Math.max(peer.matchIndex, answer.matchIndex);
  peer.nextIndex = peer.matchIndex + 1;
  leadership.advanceCommit();
  leadership.changed.notify();
  return true;
}
