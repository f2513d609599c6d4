/** Tracks up to which time the applied state of a follower is known to be complete. */
import type { LogIndex, Milliseconds } from '@cranberryturn/types';

/** A time, and an index that covers every entry committed by then. */
interface Proof {
  readonly provedAt: Milliseconds;
  readonly index: LogIndex;
}

/**
 * A heartbeat that arrives ahead of the entries proves the leader, but not the state of this
 * replica. Of the proofs that are ahead of the state, the earliest is kept: a replica that always
 * lags a little would never reach the latest one.
 */
export class StateProof {
  #provedAt: Milliseconds | undefined;
  #pending: Proof | undefined;

  /** Forgets all proofs, because another leader gave them. */
  reset(): void {
    this.#provedAt = undefined;
    this.#pending = undefined;
  }

  /** Records the proof of a heartbeat. */
  record(proof: Proof, appliedIndex: LogIndex): void {
    this.#settlePending(appliedIndex);
    const { index } = proof;
    if (this.#pending === undefined || this.#pending.index === index) {
      this.#pending = proof;
    }
    this.#settlePending(appliedIndex);
  }

  /** Latest time for which the applied state holds every entry committed by then. */
  provedAt(appliedIndex: LogIndex): Milliseconds | undefined {
    this.#settlePending(appliedIndex);
    return this.#provedAt;
  }

  #settlePending(appliedIndex: LogIndex): void {
    if (this.#pending === undefined) return;
    if (this.#pending.index > appliedIndex) return;
    this.#provedAt = this.#pending.provedAt;
    this.#pending = undefined;
  }
}
