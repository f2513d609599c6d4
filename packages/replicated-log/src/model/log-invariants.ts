/** Safety and liveness invariants that must hold in every run, under any faults. */
import type { LogIndex, ReplicaId, Term } from '@cranberryturn/types';

import type { CommittedEntry } from '../ports/state-machine.js';

interface KnownEntry {
  readonly term: Term;
  readonly text: string;
  readonly leaderTime: number;
}

/** Collects violations across all replicas of a run. */
export class LogInvariants {
  readonly violations: string[] = [];
  readonly #applied = new Map<LogIndex, KnownEntry>();
  readonly #indexByText = new Map<string, LogIndex>();
  readonly #leaders = new Map<Term, ReplicaId>();
  readonly #acknowledged = new Map<string, LogIndex>();
  readonly #rejected = new Set<string>();
  #highestAcknowledged: LogIndex = 0;
  #founders: readonly ReplicaId[] | undefined;

  /** Highest acknowledged index. */
  get highestAcknowledged(): LogIndex {
    return this.#highestAcknowledged;
  }

  /** Founding members that the seeds have decided on, as far as any host knows. */
  get founders(): readonly ReplicaId[] | undefined {
    return this.#founders;
  }

  /** All acknowledged commands with their index. */
  acknowledged(): ReadonlyMap<string, LogIndex> {
    return this.#acknowledged;
  }

  /** Checks that every replica applies the same entry at an index, and that leader time never decreases. */
  recordApplied(replicaId: ReplicaId, entry: CommittedEntry): void {
    const text = Buffer.from(entry.command).toString();
    const { index, term, leaderTime } = entry;
    const known = this.#applied.get(index);
    if (known === undefined) {
      this.#applied.set(index, { term, text, leaderTime });
      this.#recordCommitted(text, index);
    } else if (known.term !== term || known.text !== text) {
      this.#addViolation(
        `${replicaId} applied "${text}" of term ${String(term)} at ${String(index)}, where another replica applied "${known.text}" of term ${String(known.term)}`,
      );
    }
    const previous = this.#applied.get(index - 1);
    if (previous !== undefined && previous.leaderTime > leaderTime) {
      this.#addViolation(`leader time decreases at ${String(index)}`);
    }
  }

  /** Checks that each term has at most one leader. */
  recordLeader(replicaId: ReplicaId, term: Term): void {
    const known = this.#leaders.get(term);
    if (known !== undefined && known !== replicaId) {
      this.#addViolation(
        `"${known}" and "${replicaId}" both led term ${String(term)}`,
      );
    }
    this.#leaders.set(term, replicaId);
  }

  /** Checks that all hosts learn of the same founding members. */
  recordFounders(host: string, founders: readonly ReplicaId[]): void {
    this.#founders ??= founders;
    if (this.#founders.join() === founders.join()) return;
    this.#addViolation(
      `${host} knows the founding members ${founders.join()}, another host ${this.#founders.join()}`,
    );
  }

  /** Checks that an acknowledged command was applied at the acknowledged index. */
  recordAcknowledged(text: string, index: LogIndex): void {
    this.#acknowledged.set(text, index);
    this.#highestAcknowledged = Math.max(this.#highestAcknowledged, index);
    if (this.#indexByText.get(text) !== index) {
      this.#addViolation(
        `"${text}" was acknowledged at ${String(index)} but not applied there`,
      );
    }
  }

  /** Checks that a command reported as never committed is not applied before or after. */
  recordRejected(text: string): void {
    this.#rejected.add(text);
    if (this.#indexByText.has(text)) {
      this.#addViolation(`"${text}" was rejected after it was applied`);
    }
  }

  /** Checks a leadership proof that was requested when `before` was the highest acknowledged index. */
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

  /** Checks that the final state of a replica contains every acknowledged command. */
  checkState(replicaId: ReplicaId, texts: ReadonlyMap<LogIndex, string>): void {
    for (const [text, index] of this.#acknowledged) {
      if (texts.get(index) === text) continue;
      this.#addViolation(
        `"${replicaId}" lost the acknowledged command "${text}" at ${String(index)}`,
      );
    }
  }

  /** Records that the log did not recover after all faults ended. */
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
      this.#addViolation(`"${text}" was rejected but applied later`);
    }
    this.#indexByText.set(text, index);
  }

  #addViolation(violation: string): void {
    this.violations.push(violation);
  }
}
