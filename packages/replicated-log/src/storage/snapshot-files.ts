/** Snapshot files: the state of the state machine after one entry. */
import type { StorageError } from '@cranberryturn/errors';
import type { CorruptionError } from '@cranberryturn/errors';
import type { LogIndex, Milliseconds } from '@cranberryturn/types';
import { pack, unpack } from 'msgpackr';
import { err, errAsync, ok, okAsync, type ResultAsync } from 'neverthrow';

import type { LogPosition } from '../entries.js';
import type { Member } from '../members.js';
import type { LogDisk } from '../ports/log-disk.js';
import { decodeFrame, encodeFrame } from './frame-codec.js';
import { fileCorrupt } from './framed-file.js';

const filePrefix = 'snapshot-';
const indexDigits = 16;

/** Metadata of a snapshot. */
export interface SnapshotMeta {
  readonly last: LogPosition;
  readonly members: readonly Member[];
  /** Leader time of the last covered entry. */
  readonly leaderTime: Milliseconds;
}

/** A snapshot with the serialized state. */
export interface Snapshot {
  readonly meta: SnapshotMeta;
  readonly state: Uint8Array;
}

/** Metadata for a log without a snapshot. */
export const emptySnapshotMeta: SnapshotMeta = {
  last: { index: 0, term: 0 },
  members: [],
  leaderTime: 0,
};

/** Writes a snapshot. Durable once resolved. */
export function writeSnapshot(
  disk: LogDisk,
  snapshot: Snapshot,
): ResultAsync<void, StorageError> {
  const header = encodeFrame(pack(snapshot.meta), 0);
  const body = encodeFrame(snapshot.state, 0);
  const bytes = new Uint8Array(header.length + body.length);
  bytes.set(header, 0);
  bytes.set(body, header.length);
  return disk.replace(snapshotFile(snapshot.meta.last.index), bytes);
}

/** Reads the newest snapshot; undefined when there is none. */
export function readNewestSnapshot(
  disk: LogDisk,
): ResultAsync<Snapshot | undefined, StorageError | CorruptionError> {
  return disk.list().andThen(files => {
    const newest = files.filter(isSnapshotFile).at(-1);
    if (newest === undefined) return okAsync(undefined);
    return readSnapshotFile(disk, newest);
  });
}

/** Reads the snapshot that ends at `index`. */
export function readSnapshot(
  disk: LogDisk,
  index: LogIndex,
): ResultAsync<Snapshot, StorageError | CorruptionError> {
  return readSnapshotFile(disk, snapshotFile(index));
}

/** Removes all snapshots that end before `index`. */
export function removeSnapshotsBefore(
  disk: LogDisk,
  index: LogIndex,
): ResultAsync<void, StorageError> {
  const kept = snapshotFile(index);
  return disk.list().andThen(files => {
    let removed: ResultAsync<void, StorageError> = okAsync();
    for (const file of files) {
      if (!isSnapshotFile(file) || file >= kept) continue;
      removed = removed.andThen(() => disk.remove(file));
    }
    return removed;
  });
}

function readSnapshotFile(
  disk: LogDisk,
  file: string,
): ResultAsync<Snapshot, StorageError | CorruptionError> {
  return disk
    .read(file)
    .andThen(bytes =>
      bytes === undefined ? errAsync(fileCorrupt(file, 0)) : ok(bytes),
    )
    .andThen(bytes => {
      const header = decodeFrame(bytes, 0);
      if (header === undefined) return err(fileCorrupt(file, 0));
      const body = decodeFrame(bytes, header.end);
      if (body?.end !== bytes.length) {
        return err(fileCorrupt(file, header.end));
      }
      const meta = unpack(header.payload) as SnapshotMeta;
      return ok({ meta, state: body.payload });
    });
}

function snapshotFile(index: LogIndex): string {
  return filePrefix + String(index).padStart(indexDigits, '0');
}

function isSnapshotFile(file: string): boolean {
  return file.startsWith(filePrefix);
}
