/** Port: the state machine to which committed commands are applied. */
import type { LogIndex, Milliseconds, Term } from '@cranberryturn/types';

/** A committed command with its position in the log. */
export interface CommittedEntry {
  readonly index: LogIndex;
  readonly term: Term;
  /** Wall-clock time of the leader when it appended the entry. Never decreases along the log. */
  readonly leaderTime: Milliseconds;
  readonly command: Uint8Array;
}

/** Deterministic state machine: the same entries produce the same state on every replica. */
export interface StateMachine<Outcome> {
  /** Applies one command. Must not read clocks or random numbers. An exception stops the replica. */
  apply(entry: CommittedEntry): Outcome;
  /** Serializes the whole state. */
  snapshot(): Uint8Array;
  /** Replaces the whole state with a snapshot of the entries up to `lastIndex`. */
  restore(bytes: Uint8Array, lastIndex: LogIndex): void;
}
