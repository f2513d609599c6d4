/** Heartbeats of a leader. They show that a quorum follows and never wait for a disk. */
import type { Milliseconds } from '@cranberryturn/types';

import { MemberRole } from '../members.js';
import { PeerMessageKind, PeerReplyKind } from '../ports/peer-link.js';
import type { Leadership } from './leadership.js';
import { callPeer } from './peer-calls.js';
import type { PeerProgress } from './peer-progress.js';
import type { Replica } from './replica.js';

/** Sends a heartbeat per interval, and immediately when a leadership confirmation is requested. */
export async function sendHeartbeats(
  replica: Replica,
  leadership: Leadership,
  peer: PeerProgress,
): Promise<void> {
  while (leadership.isActive && peer.isActive) {
    void sendHeartbeat(replica, leadership, peer);
    await peer.heartbeatRequested.wait(findHeartbeatInterval(replica, peer));
  }
}

function findHeartbeatInterval(
  { store, tuning }: Replica,
  peer: PeerProgress,
): Milliseconds {
  const member = store.members.find(
    ({ replicaId }) => replicaId === peer.replicaId,
  );
  const hasAnswered = peer.matchIndex > 0;
  return member?.role === MemberRole.Observer && hasAnswered
    ? tuning.observerHeartbeatInterval
    : tuning.heartbeatInterval;
}

async function sendHeartbeat(
  replica: Replica,
  leadership: Leadership,
  peer: PeerProgress,
): Promise<void> {
  const sentAt = replica.now();
  const sentRound = leadership.confirmationRound;
  const provedAt = leadership.quorumContactAt();
  const reply = await callPeer(replica, peer.replicaId, {
    kind: PeerMessageKind.Heartbeat,
    to: peer.replicaId,
    term: leadership.term,
    commitIndex: Math.min(peer.matchIndex, replica.commitIndex),
    proofAge: sentAt - provedAt,
    provedIndex: leadership.provedIndex(),
    echo: peer.composeEcho(provedAt),
  });
  if (!leadership.isActive) return;
  if (reply.isErr()) return;
  if (reply.value.kind !== PeerReplyKind.HeartbeatAnswer) return;
  replica.observeTerm(reply.value.term);
  if (reply.value.term !== leadership.term) return;
  peer.recordContact(sentAt);
  const { stamp } = reply.value;
  // The peer waits for the echo of its first stamp to prove its state.
  if (stamp !== undefined && peer.recordStamp(stamp, replica.now()))
    peer.heartbeatRequested.notify();
  peer.confirmedRound = Math.max(peer.confirmedRound, sentRound);
  leadership.changed.notify();
}
