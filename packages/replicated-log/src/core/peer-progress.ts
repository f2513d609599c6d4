/** Replication progress of one peer, as tracked by the leader. */
import type { TimerService } from '@cranberryturn/timers';
import type { LogIndex, Milliseconds, ReplicaId } from '@cranberryturn/types';

import type { ReplicaStamp, StampEcho } from '../ports/peer-link.js';
import { Signal } from './signal.js';

/** Progress of one peer during the term of one leader. */
export class PeerProgress {
  readonly replicaId: ReplicaId;
  /** Wakes the replication loop. */
  readonly entriesAvailable: Signal;
  /** Wakes the heartbeat loop. */
  readonly heartbeatRequested: Signal;
  /** Ends the delay before a retry, so that the replication loop can stop. */
  readonly retryInterrupted: Signal;
  /** Index of the next entry to send. */
  nextIndex: LogIndex;
  /** Highest index known to be synced by the peer and to match the log of the leader. */
  matchIndex: LogIndex = 0;
  /** Send time of the latest message that the peer answered in this term. */
  contactSentAt: Milliseconds;
  /** Latest confirmation round that the peer has answered. */
  confirmedRound = 0;
  isActive = true;
  /** Newest stamp of the peer, and when it was received. */
  #stamp:
    | { readonly value: ReplicaStamp; readonly receivedAt: Milliseconds }
    | undefined;

  constructor(
    timers: TimerService,
    replicaId: ReplicaId,
    nextIndex: LogIndex,
    contactSentAt: Milliseconds,
  ) {
    this.replicaId = replicaId;
    this.nextIndex = nextIndex;
    this.contactSentAt = contactSentAt;
    this.entriesAvailable = new Signal(timers);
    this.heartbeatRequested = new Signal(timers);
    this.retryInterrupted = new Signal(timers);
  }

  /** Records a reply to a message that was sent at `sentAt`. */
  recordContact(sentAt: Milliseconds): void {
    this.contactSentAt = Math.max(this.contactSentAt, sentAt);
  }

  /** Records a stamp of the peer; returns whether it is the first one of its run. */
  recordStamp(value: ReplicaStamp, receivedAt: Milliseconds): boolean {
    const isFirst = this.#stamp?.value.startedAt !== value.startedAt;
    this.#stamp = { value, receivedAt };
    return isFirst;
  }

  /** Composes the echo for a heartbeat; `provedAt` is when a quorum was last known to follow. */
  composeEcho(provedAt: Milliseconds): StampEcho | null {
    if (this.#stamp === undefined) return null;
    const { value, receivedAt } = this.#stamp;
    return { ...value, provedAfter: provedAt - receivedAt };
  }

  /** Ends the replication and heartbeat loops of this peer. */
  end(): void {
    this.isActive = false;
    this.entriesAvailable.notify();
    this.heartbeatRequested.notify();
    this.retryInterrupted.notify();
  }
}
