/** Recovery of the stored log from a data folder. */
import { CorruptionError, type StorageError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import { err, ok, type Result } from 'neverthrow';

import type { LogEntry, LogPosition } from '../entries.js';
import type { LogDisk } from '../ports/log-disk.js';
import { readHardState, type HardState } from './hard-state.js';
import { LogStore } from './log-store.js';
import { RecordKind, type LogRecord } from './record-codec.js';
import { readSegments } from './segment-reader.js';
import { SegmentWriter, type SegmentWriterEvents } from './segment-writer.js';
import {
  emptySnapshotMeta,
  readNewestSnapshot,
  type Snapshot,
} from './snapshot-files.js';

/** State recovered from a data folder. */
export interface OpenedStore {
  readonly store: LogStore;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
}

/** Settings of a store. */
export interface OpenStoreOptions {
  readonly maximumSegmentBytes: number;
  /** Whether a write or sync of this process has failed: what is read may not be on the disk. */
  readonly isAfterFault: boolean;
}

/** Opens the log in a data folder. All recovered state is synced. */
export async function openStore(
  disk: LogDisk,
  timers: TimerService,
  events: SegmentWriterEvents,
  { maximumSegmentBytes, isAfterFault }: OpenStoreOptions,
): Promise<Result<OpenedStore, StorageError | CorruptionError>> {
  const snapshot = await readNewestSnapshot(disk);
  if (snapshot.isErr()) return err(snapshot.error);
  const stored = await readSegments(disk, isAfterFault);
  if (stored.isErr()) return err(stored.error);
  const hardState = await readHardState(disk);
  if (hardState.isErr()) return err(hardState.error);
  const meta = snapshot.value?.meta ?? emptySnapshotMeta;
  const entries = replayRecords(stored.value.records, meta.last);
  if (entries.isErr()) return err(entries.error);
  const writer = new SegmentWriter(
    disk,
    timers,
    events,
    maximumSegmentBytes,
    stored.value,
  );
  if (entries.value.length === 0 && stored.value.records.length > 0) {
    void writer.write([{ kind: RecordKind.Reset, position: meta.last }]);
  }
  const store = new LogStore(writer, {
    snapshot: meta,
    entries: entries.value,
  });
  return ok({
    store,
    hardState: raiseTerm(hardState.value, store.last),
    snapshot: snapshot.value,
  });
}

/** Replays records and returns the entries after the snapshot. Fails when a segment or snapshot is missing. */
function replayRecords(
  records: readonly LogRecord[],
  snapshot: LogPosition,
): Result<readonly LogEntry[], CorruptionError> {
  let base: LogPosition | undefined;
  let entries: LogEntry[] = [];
  for (const record of records) {
    if (record.kind === RecordKind.Reset) {
      base = record.position;
      entries = [];
      continue;
    }
    const { entry } = record;
    const first = entries[0]?.index ?? (base?.index ?? snapshot.index) + 1;
    const next = first + entries.length;
    if (entry.index > next) {
      if (entry.index > snapshot.index + 1) return err(missingEntries(next));
      base = undefined;
      entries = [];
    } else if (entry.index < first) {
      base = undefined;
      entries = [];
    } else {
      entries.length = entry.index - first;
    }
    entries.push(entry);
  }
  if (base !== undefined && base.index > snapshot.index) {
    return err(missingSnapshot(base));
  }
  return ok(entriesAfter(entries, base, snapshot));
}

function entriesAfter(
  entries: readonly LogEntry[],
  base: LogPosition | undefined,
  snapshot: LogPosition,
): readonly LogEntry[] {
  if (snapshot.index === 0) return entries;
  const atSnapshot = entries.findIndex(entry => entry.index === snapshot.index);
  if (atSnapshot !== -1) {
    const isSameTerm = entries[atSnapshot]?.term === snapshot.term;
    return isSameTerm ? entries.slice(atSnapshot + 1) : [];
  }
  const followsReset =
    base?.index === snapshot.index && base.term === snapshot.term;
  const followsSnapshot = entries[0]?.index === snapshot.index + 1;
  return followsSnapshot && (followsReset || base === undefined) ? entries : [];
}

/**
 * Raises the stored term to the term of the last entry. This replica has answered no vote request
 * in that term, or the term would be stored with its vote.
 */
function raiseTerm(hardState: HardState, last: LogPosition): HardState {
  if (last.term <= hardState.term) return hardState;
  return { term: last.term };
}

function missingEntries(index: number): CorruptionError {
  return new CorruptionError(
    `The replicated log lacks entries from index ${String(index)} on: a segment file is missing. This replica stays stopped: give the host an empty data folder and replace the replica with a new one.`,
    { step: 'read replicated log' },
  );
}

function missingSnapshot(base: LogPosition): CorruptionError {
  return new CorruptionError(
    `The replicated log continues a snapshot up to index ${String(base.index)}, but the snapshot file is missing. This replica stays stopped: give the host an empty data folder and replace the replica with a new one.`,
    { step: 'read replicated log' },
  );
}
