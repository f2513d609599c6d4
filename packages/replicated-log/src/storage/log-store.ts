/** The stored log of one replica: entries in memory, records on disk, the newest snapshot. */
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

/** Bytes that an entry is counted with, beside its command. */
const entryOverheadBytes = 64;

interface MembersAt {
  readonly index: LogIndex;
  readonly members: readonly Member[];
}

/** What a log holds when it is opened. */
export interface StoredLog {
  readonly snapshot: SnapshotMeta;
  /** Entries that follow the snapshot without a gap. */
  readonly entries: readonly LogEntry[];
}

/** Entries in memory are a superset of the synced ones; `syncedIndex` tells how far they last. */
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

  /** Last index up to which everything is synced. */
  get syncedIndex(): LogIndex {
    const firstUnsynced = this.#writer.firstUnsyncedIndex();
    if (firstUnsynced === undefined) return this.last.index;
    return Math.max(
      this.#snapshot.last.index,
      Math.min(this.last.index, firstUnsynced - 1),
    );
  }

  /** Position before the first entry in memory. */
  get base(): LogPosition {
    return this.#base;
  }

  /** What the newest snapshot covers. */
  get snapshot(): SnapshotMeta {
    return this.#snapshot;
  }

  /** Members according to the newest entry, committed or not. */
  get members(): readonly Member[] {
    return this.#membersHistory.at(-1)?.members ?? [];
  }

  /** Index of the entry that set the members. */
  get membersIndex(): LogIndex {
    return this.#membersHistory.at(-1)?.index ?? 0;
  }

  /** Leader time of the last entry. */
  get lastLeaderTime(): Milliseconds {
    return this.#entries.at(-1)?.leaderTime ?? this.#snapshot.leaderTime;
  }

  /** Names the members that a blank log starts with. */
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

  /** Entries from `first` on, at least one when there is one, up to about `maximumBytes`. */
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

  /** Stores entries; from the index of the first on, former entries are void. Resolves when synced. */
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

  /** Resolves when the writer rests. */
  whenIdle(): Promise<void> {
    return this.#writer.whenIdle();
  }

  /** How long the current write has been running; 0 when none is. */
  currentWriteMilliseconds(): Milliseconds {
    return this.#writer.currentWriteMilliseconds();
  }

  /** Notes that a snapshot is synced, and drops what it covers but for `trailingEntries`. */
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

  /** Takes a snapshot of the leader, already synced, in place of the entries. */
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
