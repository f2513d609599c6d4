/** Log store of one replica: entries in memory, records on disk, and metadata of the newest snapshot. */
import type { StorageError } from '@cranberryturn/errors';
import type { LogIndex, Milliseconds, Term } from '@cranberryturn/types';
import type { Result } from 'neverthrow';

import { EntryKind, type LogEntry, type LogPosition } from '../entries.js';
import type { Member } from '../members.js';
import {
  RecordKind,
  type EntryRecord,
  type LogRecord,
} from './record-codec.js';
import type { SegmentWriter } from './segment-writer.js';
import type { SnapshotMeta } from './snapshot-files.js';

/** Estimated size of an entry without its command. */
const entryOverheadBytes = 64;

interface MembersAt {
  readonly index: LogIndex;
  readonly members: readonly Member[];
}

/** Content of a log when it is opened. */
export interface StoredLog {
  readonly snapshot: SnapshotMeta;
  /** Entries directly after the snapshot, without a gap. */
  readonly entries: readonly LogEntry[];
}

/** Holds all entries since the last compaction in memory. Entries after `syncedIndex` may be lost in a crash. */
export class LogStore {
  readonly #writer: SegmentWriter;
  #base: LogPosition;
  #entries: LogEntry[];
  #membersHistory: MembersAt[];
  #snapshot: SnapshotMeta;

  constructor(writer: SegmentWriter, stored: StoredLog) {
    this.#writer = writer;
    this.#snapshot = stored.snapshot;
    this.#base = stored.snapshot.last;
    this.#entries = [...stored.entries];
    this.#membersHistory = [snapshotMembers(stored.snapshot)];
    for (const entry of this.#entries) this.#recordMembers(entry);
  }

  /** Position of the last entry, synced or not. */
  get last(): LogPosition {
    return this.#entries.at(-1) ?? this.#base;
  }

  /** Index up to which all entries are synced. */
  get syncedIndex(): LogIndex {
    const firstUnsynced = this.#writer.firstUnsyncedIndex();
    if (firstUnsynced === undefined) return this.last.index;
    return Math.max(
      this.#snapshot.last.index,
      Math.min(this.last.index, firstUnsynced - 1),
    );
  }

  /** Position directly before the first entry in memory. */
  get base(): LogPosition {
    return this.#base;
  }

  /** Metadata of the newest snapshot. */
  get snapshot(): SnapshotMeta {
    return this.#snapshot;
  }

  /** Members according to the newest entry, committed or not. */
  get members(): readonly Member[] {
    return this.#membersHistory.at(-1)?.members ?? [];
  }

  /** Index of the entry that set `members`. */
  get membersIndex(): LogIndex {
    return this.#membersHistory.at(-1)?.index ?? 0;
  }

  /** Leader time of the last entry. */
  get lastLeaderTime(): Milliseconds {
    return this.#entries.at(-1)?.leaderTime ?? this.#snapshot.leaderTime;
  }

  /** Sets the members of an empty log. Has no effect on a log that has entries or members. */
  setInitialMembers(members: readonly Member[]): void {
    if (this.last.index > 0 || this.members.length > 0) return;
    this.#membersHistory = [{ index: 0, members }];
  }

  /** Members according to the entries up to `index`. */
  membersAt(index: LogIndex): readonly Member[] {
    const known = this.#membersHistory.findLast(
      change => change.index <= index,
    );
    return known?.members ?? [];
  }

  /** Term of the entry at `index`; undefined when it is not in memory. */
  termAt(index: LogIndex): Term | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.entryAt(index)?.term;
  }

  /** The entry at `index`; undefined when it is not in memory. */
  entryAt(index: LogIndex): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Returns entries from `first` on, up to about `maximumBytes`, but at least one if there is one. */
  readFrom(first: LogIndex, maximumBytes: number): readonly LogEntry[] {
    const start = first - this.#base.index - 1;
    let end = start;
    let bytes = 0;
    while (end < this.#entries.length && bytes < maximumBytes) {
      bytes += entryBytes(this.#entries[end]);
      end += 1;
    }
    return this.#entries.slice(start, end);
  }

  /** Appends entries and discards stored entries from the index of the first one on. Resolves when synced. */
  append(entries: readonly LogEntry[]): Promise<Result<void, StorageError>> {
    const first = entries[0];
    if (first !== undefined && first.index <= this.last.index) {
      this.#discardFrom(first.index);
    }
    for (const entry of entries) {
      this.#entries.push(entry);
      this.#recordMembers(entry);
    }
    return this.#writer.write(entries.map(toRecord));
  }

  /** Resolves when everything stored so far is synced. */
  whenSynced(): Promise<Result<void, StorageError>> {
    return this.#writer.whenSynced();
  }

  /** Resolves when no write is running or queued. */
  whenIdle(): Promise<void> {
    return this.#writer.whenIdle();
  }

  /** Duration of the current write; 0 when no write is running. */
  currentWriteMilliseconds(): Milliseconds {
    return this.#writer.currentWriteMilliseconds();
  }

  /** Compacts the log after a snapshot of this replica was synced, but keeps `trailingEntries` before it. */
  async applyLocalSnapshot(
    snapshot: SnapshotMeta,
    trailingEntries: number,
  ): Promise<Result<void, StorageError>> {
    if (snapshot.last.index > this.#snapshot.last.index) {
      this.#snapshot = snapshot;
      this.#dropUpTo(snapshot.last.index - trailingEntries);
      this.#writer.roll();
    }
    return this.#writer.removeBefore(this.#snapshot.last.index);
  }

  /** Replaces the entries covered by a snapshot from the leader, which must be synced already. */
  installSnapshot(snapshot: SnapshotMeta): void {
    const { last } = snapshot;
    this.#snapshot = snapshot;
    if (this.termAt(last.index) === last.term) {
      this.#dropUpTo(last.index);
    } else {
      this.#base = last;
      this.#entries = [];
      this.#membersHistory = [snapshotMembers(snapshot)];
      const reset: LogRecord = { kind: RecordKind.Reset, position: last };
      void this.#writer.write([reset]);
    }
    this.#writer.roll();
  }

  #discardFrom(index: LogIndex): void {
    this.#entries.length = index - this.#base.index - 1;
    while ((this.#membersHistory.at(-1)?.index ?? 0) >= index) {
      this.#membersHistory.pop();
    }
  }

  #dropUpTo(index: LogIndex): void {
    const term = this.termAt(index);
    if (index <= this.#base.index || term === undefined) return;
    this.#membersHistory = [
      { index, members: this.membersAt(index) },
      ...this.#membersHistory.filter(change => change.index > index),
    ];
    this.#entries = this.#entries.slice(index - this.#base.index);
    this.#base = { index, term };
  }

  #recordMembers(entry: LogEntry): void {
    if (entry.kind !== EntryKind.Members) return;
    this.#membersHistory.push({ index: entry.index, members: entry.members });
  }
}

function snapshotMembers(snapshot: SnapshotMeta): MembersAt {
  return { index: snapshot.last.index, members: snapshot.members };
}

function toRecord(entry: LogEntry): EntryRecord {
  return { kind: RecordKind.Entry, entry };
}

function entryBytes(entry: LogEntry | undefined): number {
  if (entry?.kind !== EntryKind.Command) return entryOverheadBytes;
  return entryOverheadBytes + entry.command.length;
}
