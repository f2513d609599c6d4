/** State of a leader in one term: progress of peers, the commit rule, and the quorum check. */
import type {
  LogIndex,
  Milliseconds,
  ReplicaId,
  Term,
} from '@cranberryturn/types';

import { EntryKind, type LogEntry } from '../entries.js';
import type { Member } from '../members.js';
import { sendHeartbeats } from './heartbeats.js';
import { PeerProgress } from './peer-progress.js';
import { replicateToPeer } from './replication.js';
import type { Replica } from './replica.js';
import { Signal } from './signal.js';
import { superviseLeadership } from './supervision.js';

/** Becomes leader of the current term: starts the loops for the peers and appends the first entry of the term. */
export function startLeadership(replica: Replica): void {
  const leadership = new Leadership(replica);
  replica.becomeLeader(leadership);
  leadership.appendMembers(replica.store.members);
  void superviseLeadership(replica, leadership);
}

/** Leadership of one term. Ends when the replica steps down or stops. */
export class Leadership {
  readonly term: Term;
  readonly peers = new Map<ReplicaId, PeerProgress>();
  /** Notified on every reply of a peer, every commit, and when the leadership ends. */
  readonly changed: Signal;
  /** Notified only when the leadership ends. */
  readonly ended: Signal;
  /** Index of the first entry of the term. Once committed, all entries of earlier terms are committed too. */
  readonly firstIndex: LogIndex;
  /** Number of leadership confirmations requested so far. */
  confirmationRound = 0;
  isActive = true;
  /** Set during a leadership transfer; proposals are refused meanwhile. */
  isTransferring = false;
  readonly #replica: Replica;
  readonly #startedAt: Milliseconds;

  constructor(replica: Replica) {
    this.#replica = replica;
    this.#startedAt = replica.now();
    this.term = replica.term;
    this.firstIndex = replica.store.last.index + 1;
    this.changed = new Signal(replica.dependencies.timers);
    this.ended = new Signal(replica.dependencies.timers);
  }

  /** Appends a command; returns its index. */
  appendCommand(command: Uint8Array): LogIndex {
    return this.#append({
      kind: EntryKind.Command,
      ...this.#nextPosition(),
      command,
    });
  }

  /** Appends a list of members, which takes effect immediately; returns its index. */
  appendMembers(members: readonly Member[]): LogIndex {
    const index = this.#append({
      kind: EntryKind.Members,
      ...this.#nextPosition(),
      members,
    });
    this.#updatePeers();
    return index;
  }

  /**
   * Commits the entries that a quorum has synced, unless the last of them is of an earlier term:
   * such an entry could still be overwritten.
   */
  advanceCommit(): void {
    if (!this.isActive) return;
    const { store } = this.#replica;
    const reached = this.#reachedByQuorum(
      peer => peer?.matchIndex ?? 0,
      store.syncedIndex,
    );
    if (reached <= this.#replica.commitIndex) return;
    if (store.termAt(reached) !== this.term) return;
    this.#replica.commitUpTo(reached);
    this.changed.notify();
    this.#stepDownIfRemoved();
  }

  /** Latest time at which a quorum is known to have followed this leader. */
  quorumContactAt(): Milliseconds {
    return this.#reachedByQuorum(
      peer => peer?.contactSentAt ?? this.#startedAt,
      this.#replica.now(),
    );
  }

  /**
   * Covers every committed entry of this and all earlier terms. Until the first entry of the term is
   * committed, the commit index of a new leader may be lower than that of its predecessor.
   */
  provedIndex(): LogIndex {
    return Math.max(this.#replica.commitIndex, this.firstIndex);
  }

  /** Latest confirmation round that a quorum has answered. */
  quorumConfirmedRound(): number {
    return this.#reachedByQuorum(
      peer => peer?.confirmedRound ?? 0,
      this.confirmationRound,
    );
  }

  /** Steps down when no quorum answered for an election timeout. */
  checkQuorum(): void {
    if (!this.isActive) return;
    const silence = this.#replica.now() - this.quorumContactAt();
    if (silence > this.#replica.tuning.minimumElectionTimeout) {
      this.#replica.stepDown();
    }
  }

  /** Ends all loops of this leadership. */
  end(): void {
    this.isActive = false;
    for (const peer of this.peers.values()) peer.end();
    this.changed.notify();
    this.ended.notify();
  }

  /** Returns the highest value that a quorum of voters has reached. */
  #reachedByQuorum(
    valueOfPeer: (peer: PeerProgress | undefined) => number,
    ownValue: number,
  ): number {
    const values = this.#replica.voters().map(voter => {
      if (voter.replicaId === this.#replica.replicaId) return ownValue;
      return valueOfPeer(this.peers.get(voter.replicaId));
    });
    values.sort((left, right) => right - left);
    return values[this.#replica.quorumSize() - 1] ?? 0;
  }

  #nextPosition(): { index: LogIndex; term: Term; leaderTime: Milliseconds } {
    const { store, dependencies } = this.#replica;
    return {
      index: store.last.index + 1,
      term: this.term,
      leaderTime: Math.max(
        dependencies.timers.wallClock(),
        store.lastLeaderTime,
      ),
    };
  }

  #append(entry: LogEntry): LogIndex {
    void this.#replica.store.append([entry]);
    for (const peer of this.peers.values()) peer.entriesAvailable.notify();
    return entry.index;
  }

  #updatePeers(): void {
    const peerIds = new Set(
      this.#replica.store.members.map(member => member.replicaId),
    );
    peerIds.delete(this.#replica.replicaId);
    for (const [replicaId, peer] of this.peers) {
      if (peerIds.has(replicaId)) continue;
      peer.end();
      this.peers.delete(replicaId);
    }
    for (const replicaId of peerIds) {
      if (!this.peers.has(replicaId)) this.#startPeer(replicaId);
    }
  }

  #startPeer(replicaId: ReplicaId): void {
    const peer = new PeerProgress(
      this.#replica.dependencies.timers,
      replicaId,
      this.#replica.store.last.index,
      this.#replica.now(),
    );
    this.peers.set(replicaId, peer);
    void replicateToPeer(this.#replica, this, peer);
    void sendHeartbeats(this.#replica, this, peer);
  }

  #stepDownIfRemoved(): void {
    const { store, replicaId, commitIndex } = this.#replica;
    if (store.membersIndex > commitIndex) return;
    const isMember = store.members.some(
      member => member.replicaId === replicaId,
    );
    if (!isMember) this.#replica.stepDown();
  }
}
