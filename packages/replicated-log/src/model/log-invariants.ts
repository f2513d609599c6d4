/** What must hold in every run of the log, whatever fails. */
import type { LogIndex, ReplicaId, Term } from '@cranberryturn/types';

import type { CommittedEntry } from '../ports/state-machine.js';

interface KnownEntry {
  readonly term: Term;
  readonly text: string;
  readonly leaderTime: number;
}

/** Collects violations over all replicas of a run. */
export class LogInvariants {
  readonly violations: string[] = [];
  readonly #applied = new Map<LogIndex, KnownEntry>();
  readonly #indexByText = new Map<string, LogIndex>();
  readonly #leaders = new Map<Term, ReplicaId>();
  readonly #acknowledged = new Map<string, LogIndex>();
  readonly #rejected = new Set<string>();
  #highestAcknowledged: LogIndex = 0;

  /** Highest index that was acknowledged to anybody. */
  get highestAcknowledged(): LogIndex {
    return this.#highestAcknowledged;
  }

  /** Every acknowledged command with its index. */
  acknowledged(): ReadonlyMap<string, LogIndex> {
    return this.#acknowledged;
  }

  /** Every replica applies the same entry at the same index, and leader time never goes back. */
  recordApplied(replicaId: ReplicaId, entry: CommittedEntry): void {
    const text = Buffer.from(entry.command).toString();
    const { index, term, leaderTime } = entry;
    const known = this.#applied.get(index);
    if (known === undefined) {
      this.#applied.set(index, { term, text, leaderTime });
      this.#recordCommitted(text, index);
    } else if (known.term !== term || known.text !== text) {
      this.#addViolation(
        `${replicaId} applied "${text}" of term ${String(term)} at ${String(index)}, where another applied "${known.text}" of term ${String(known.term)}`,
      );
    }
    const former = this.#applied.get(index - 1);
    if (former !== undefined && former.leaderTime > leaderTime) {
      this.#addViolation(`leader time goes back at ${String(index)}`);
    }
  }

  /** At most one leader in each term. */
  recordLeader(replicaId: ReplicaId, term: Term): void {
    const known = this.#leaders.get(term);
    if (known !== undefined && known !== replicaId) {
      this.#addViolation(
        `"${known}" and "${replicaId}" both led term ${String(term)}`,
      );
    }
    this.#leaders.set(term, replicaId);
  }

  /** A command was acknowledged at an index. */
  recordAcknowledged(text: string, index: LogIndex): void {
    this.#acknowledged.set(text, index);
    this.#highestAcknowledged = Math.max(this.#highestAcknowledged, index);
    if (this.#indexByText.get(text) !== index) {
      this.#addViolation(
        `"${text}" was acknowledged at ${String(index)} in vain`,
      );
    }
  }

  /** A command was said to be never committed. */
  recordRejected(text: string): void {
    this.#rejected.add(text);
    if (this.#indexByText.has(text)) {
      this.#addViolation(`"${text}" was denied and had been applied`);
    }
  }

  /** A leader proved its majority when `before` was the highest acknowledged index. */
  checkReadIndex(
    replicaId: ReplicaId,
    readIndex: LogIndex,
    before: LogIndex,
  ): void {
    if (readIndex >= before) return;
    this.#addViolation(
      `"${replicaId}" proved leadership with read index ${String(readIndex)} after ${String(before)} was acknowledged`,
    );
  }

  /** The state of a replica at the end holds every acknowledged command. */
  checkState(replicaId: ReplicaId, texts: ReadonlyMap<LogIndex, string>): void {
    for (const [text, index] of this.#acknowledged) {
      if (texts.get(index) === text) continue;
      this.#addViolation(
        `"${replicaId}" lost the acknowledged "${text}" at ${String(index)}`,
      );
    }
  }

  /** Records that a run did not come back to work. */
  recordStuck(reason: string): void {
    this.#addViolation(reason);
  }

  #recordCommitted(text: string, index: LogIndex): void {
    const other = this.#indexByText.get(text);
    if (other !== undefined) {
      this.#addViolation(
        `"${text}" was applied at ${String(other)} and ${String(index)}`,
      );
    }
    if (this.#rejected.has(text)) {
      this.#addViolation(`"${text}" was denied and is applied later`);
    }
    this.#indexByText.set(text, index);
  }

  #addViolation(violation: string): void {
    this.violations.push(violation);
  }
}
