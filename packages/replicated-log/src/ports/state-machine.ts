/** Port: the state that the log builds. */
import type { LogIndex, Milliseconds, Term } from '@cranberryturn/types';

/** A committed command, in the order of the log. */
export interface CommittedEntry {
  readonly index: LogIndex;
  readonly term: Term;
  /** Wall-clock time that the leader stamped on the entry; never goes back along the log. */
  readonly leaderTime: Milliseconds;
  readonly command: Uint8Array;
}

/** State built from committed commands. Deterministic: the same entries give the same state on each replica. */
export interface StateMachine<Outcome> {
  /** Applies one command. It must not read clocks or random numbers. */
  apply(entry: CommittedEntry): Outcome;
  /** Encodes the whole state. */
  snapshot(): Uint8Array;
  /** Replaces the whole state by a snapshot that covers entries up to `lastIndex`. */
  restore(bytes: Uint8Array, lastIndex: LogIndex): void;
}
