/** Entries of the replicated log. */
import type { LogIndex, Milliseconds, Term } from '@cranberryturn/types';

import type { Member } from './members.js';

/** Kinds of log entries. */
export enum EntryKind {
  /** A command for the state machine. */
  Command = 'command',
  /** The complete list of members from this entry on. Also the first entry of each term. */
  Members = 'members',
}

interface EntryBase {
  readonly index: LogIndex;
  readonly term: Term;
  readonly leaderTime: Milliseconds;
}

/** An entry with a command for the state machine. */
export interface CommandEntry extends EntryBase {
  readonly kind: EntryKind.Command;
  readonly command: Uint8Array;
}

/** An entry that replaces the complete list of members. */
export interface MembersEntry extends EntryBase {
  readonly kind: EntryKind.Members;
  readonly members: readonly Member[];
}

/** One entry of the log. */
export type LogEntry = CommandEntry | MembersEntry;

/** Position of an entry. Two logs that share a position are identical up to that position. */
export interface LogPosition {
  readonly index: LogIndex;
  readonly term: Term;
}
