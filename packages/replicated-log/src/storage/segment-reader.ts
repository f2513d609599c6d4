/** Reads the segments of a log, truncates a torn tail and reports corruption. */
import type { StorageError } from '@cranberryturn/errors';
import type { CorruptionError } from '@cranberryturn/errors';
import type { LogIndex } from '@cranberryturn/types';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';
import { decodeFrame, findSyncedLength } from './frame-codec.js';
import { decodeRecords, firstIndexOf, type LogRecord } from './record-codec.js';
import { fileCorrupt } from './framed-file.js';

const filePrefix = 'segment-';
const numberDigits = 12;

/** One segment file of the log. */
export interface Segment {
  readonly number: number;
  /** First index of a log that starts with this segment; undefined while the segment has no record. */
  firstIndex: LogIndex | undefined;
}

/** All records of the log, oldest first, and the position at which to continue writing. */
export interface StoredRecords {
  readonly records: readonly LogRecord[];
  readonly segments: readonly Segment[];
  /** Length in bytes of the last segment. */
  readonly lastLength: number;
}

interface SegmentContent {
  readonly records: LogRecord[];
  /** Offset of the first byte that is not part of a valid frame. */
  readonly end: number;
}

/** Returns the file name of a segment. */
export function segmentFile(number: number): string {
  return filePrefix + String(number).padStart(numberDigits, '0');
}

/**
 * Reads all segments. The returned records are synced. Damage below a synced length is an error. After a fault of the
 * disk, the last segment is written anew: the system may return pages that it failed to write, and syncs them no more.
 */
export function readSegments(
  disk: LogDisk,
  isAfterFault: boolean,
): ResultAsync<StoredRecords, StorageError | CorruptionError> {
  return new ResultAsync(readAll(disk, isAfterFault));
}

async function readAll(
  disk: LogDisk,
  isAfterFault: boolean,
): Promise<Result<StoredRecords, StorageError | CorruptionError>> {
  const listed = await disk.list();
  if (listed.isErr()) return err(listed.error);
  const files = listed.value.filter(file => file.startsWith(filePrefix));
  const records: LogRecord[] = [];
  const segments: Segment[] = [];
  let lastLength = 0;
  for (const [position, file] of files.entries()) {
    const isLast = position === files.length - 1;
    const content = await readSegment(disk, file, isLast, isAfterFault);
    if (content.isErr()) return err(content.error);
    for (const record of content.value.records) records.push(record);
    segments.push(describeSegment(file, content.value.records));
    lastLength = content.value.end;
  }
  return ok({ records, segments, lastLength });
}

function describeSegment(file: string, records: LogRecord[]): Segment {
  const first = records[0];
  return {
    number: Number(file.slice(filePrefix.length)),
    firstIndex: first === undefined ? undefined : firstIndexOf(first),
  };
}

async function readSegment(
  disk: LogDisk,
  file: string,
  isLast: boolean,
  isAfterFault: boolean,
): Promise<Result<SegmentContent, StorageError | CorruptionError>> {
  const read = await disk.read(file);
  if (read.isErr()) return err(read.error);
  const bytes = read.value ?? new Uint8Array(0);
  const content = parseFrames(bytes);
  if (content.end < bytes.length) {
    const isTorn = isLast && findSyncedLength(bytes, 0) <= content.end;
    if (!isTorn) return err(fileCorrupt(file, content.end));
    if (!isAfterFault) {
      const cut = await disk.truncate(file, content.end);
      if (cut.isErr()) return err(cut.error);
    }
  }
  if (isLast) {
    const synced = isAfterFault
      ? await disk.replace(file, bytes.subarray(0, content.end))
      : await disk.sync(file);
    if (synced.isErr()) return err(synced.error);
  }
  return ok(content);
}

function parseFrames(bytes: Uint8Array): SegmentContent {
  const records: LogRecord[] = [];
  let end = 0;
  for (;;) {
    const frame = decodeFrame(bytes, end);
    const decoded = frame && decodeRecords(frame.payload);
    if (frame === undefined || decoded === undefined) return { records, end };
    for (const record of decoded) records.push(record);
    end = frame.end;
  }
}
