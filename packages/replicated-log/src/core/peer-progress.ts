/** What a leader knows about one peer. */
import type { TimerService } from '@cranberryturn/timers';
import type { LogIndex, Milliseconds, ReplicaId } from '@cranberryturn/types';

import { Signal } from './signal.js';

/** Progress of one peer during one leadership. */
export class PeerProgress {
  readonly replicaId: ReplicaId;
  /** Wakes the loop that replicates entries. */
  readonly entriesAvailable: Signal;
  /** Wakes the loop that sends heartbeats. */
  readonly heartbeatRequested: Signal;
  /** Ends the pause after a message without answer. */
  readonly retryInterrupted: Signal;
  /** First index to send next. */
  nextIndex: LogIndex;
  /** Last index that the peer has synced and that is known to match. */
  matchIndex: LogIndex = 0;
  /** When the newest message was sent that the peer has answered in this term. */
  contactSentAt: Milliseconds;
  /** Newest round of leadership proofs that the peer has answered. */
  confirmedRound = 0;
  isActive = true;

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

  /** Notes an answer to a message that was sent at `sentAt`. */
  recordContact(sentAt: Milliseconds): void {
    this.contactSentAt = Math.max(this.contactSentAt, sentAt);
  }

  /** Ends the loops of this peer. */
  end(): void {
    this.isActive = false;
    this.entriesAvailable.notify();
    this.heartbeatRequested.notify();
    this.retryInterrupted.notify();
  }
}
