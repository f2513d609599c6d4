/** Sends a snapshot in chunks to a peer whose next entries were compacted. */
import {
  PeerMessageKind,
  PeerReplyKind,
  type SnapshotAnswer,
} from '../ports/peer-link.js';
import { readSnapshot, type Snapshot } from '../storage/snapshot-files.js';
import type { Leadership } from './leadership.js';
import { callPeer } from './peer-calls.js';
import type { PeerProgress } from './peer-progress.js';
import type { Replica } from './replica.js';

/** Sends the newest snapshot. Returns false when the peer did not install it. */
export async function sendSnapshot(
  replica: Replica,
  leadership: Leadership,
  peer: PeerProgress,
): Promise<boolean> {
  const { index } = replica.store.snapshot.last;
  const snapshot = await readSnapshot(replica.dependencies.disk, index);
  if (snapshot.isErr()) {
    // The snapshot may have been replaced by a newer one during the read.
    if (replica.store.snapshot.last.index > index) return true;
    replica.fail(snapshot.error);
    return false;
  }
  let offset = 0;
  while (leadership.isActive && peer.isActive) {
    const answer = await sendChunk(
      replica,
      leadership,
      peer,
      snapshot.value,
      offset,
    );
    if (answer === undefined) return false;
    if (answer.installed) {
      recordInstalled(leadership, peer, index);
      return true;
    }
    offset = answer.nextOffset;
  }
  return false;
}

async function sendChunk(
  replica: Replica,
  leadership: Leadership,
  peer: PeerProgress,
  snapshot: Snapshot,
  offset: number,
): Promise<SnapshotAnswer | undefined> {
  const sentAt = replica.now();
  const { meta, state } = snapshot;
  const end = offset + replica.tuning.snapshotChunkBytes;
  const reply = await callPeer(replica, peer.replicaId, {
    kind: PeerMessageKind.InstallSnapshot,
    to: peer.replicaId,
    term: leadership.term,
    last: meta.last,
    members: meta.members,
    leaderTime: meta.leaderTime,
    offset,
    totalBytes: state.length,
    chunk: state.subarray(offset, end),
  });
  if (!leadership.isActive || reply.isErr()) return undefined;
  if (reply.value.kind !== PeerReplyKind.SnapshotAnswer) return undefined;
  replica.observeTerm(reply.value.term);
  if (reply.value.term !== leadership.term) return undefined;
  peer.recordContact(sentAt);
  leadership.changed.notify();
  return reply.value;
}

function recordInstalled(
  leadership: Leadership,
  peer: PeerProgress,
  index: number,
): void {
  peer.matchIndex = Math.max(peer.matchIndex, index);
  peer.nextIndex = peer.matchIndex + 1;
  leadership.advanceCommit();
  leadership.changed.notify();
}
