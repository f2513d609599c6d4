/** Records: log entries and resets, encoded one after the other in the payload of a frame. */
import type { LogIndex } from '@cranberryturn/types';
import { pack, unpack } from 'msgpackr';

import { EntryKind, type LogEntry, type LogPosition } from '../entries.js';
import type { Member } from '../members.js';

/** Effect of a record during replay. */
export enum RecordKind {
  /** Adds an entry and discards earlier records of entries at or after its index. */
  Entry = 'entry',
  /** Discards all earlier entries: a snapshot up to `position` replaced them. */
  Reset = 'reset',
}

/** Record of a log entry. */
export interface EntryRecord {
  readonly kind: RecordKind.Entry;
  readonly entry: LogEntry;
}

/** Record of a snapshot that replaced the entries. */
export interface ResetRecord {
  readonly kind: RecordKind.Reset;
  readonly position: LogPosition;
}

/** One record of a segment. */
export type LogRecord = EntryRecord | ResetRecord;

const commandTag = 1;
const membersTag = 2;
const resetTag = 3;

const tagOffset = 4;
const indexOffset = 5;
const termOffset = 13;
const leaderTimeOffset = 21;
const recordHeaderBytes = 29;
const emptyBody = new Uint8Array(0);

interface PreparedRecord {
  readonly tag: number;
  readonly position: LogPosition;
  readonly leaderTime: number;
  readonly body: Uint8Array;
}

/** Encodes records into a new buffer that starts with `reservedBytes` unused bytes. */
export function encodeRecords(
  records: readonly LogRecord[],
  reservedBytes: number,
): Uint8Array {
  const prepared = records.map(prepareRecord);
  let total = reservedBytes;
  for (const record of prepared)
    total += recordHeaderBytes + record.body.length;
  const bytes = new Uint8Array(total);
  const view = new DataView(bytes.buffer);
  let offset = reservedBytes;
  for (const record of prepared) {
    writeRecord(bytes, view, offset, record);
    offset += recordHeaderBytes + record.body.length;
  }
  return bytes;
}

/** Decodes all records of a payload; undefined when the payload is malformed. */
export function decodeRecords(payload: Uint8Array): LogRecord[] | undefined {
  const view = new DataView(
    payload.buffer,
    payload.byteOffset,
    payload.byteLength,
  );
  const records: LogRecord[] = [];
  let offset = 0;
  while (offset < payload.length) {
    if (offset + recordHeaderBytes > payload.length) return undefined;
    const bodyLength = view.getUint32(offset, true);
    const end = offset + recordHeaderBytes + bodyLength;
    if (end > payload.length) return undefined;
    const record = readRecord(payload, view, offset, end);
    if (record === undefined) return undefined;
    records.push(record);
    offset = end;
  }
  return records;
}

/** Returns the first index of a log that starts with this record. */
export function firstIndexOf(record: LogRecord): LogIndex {
  switch (record.kind) {
    case RecordKind.Entry:
      return record.entry.index;
    case RecordKind.Reset:
      return record.position.index + 1;
  }
}

function prepareRecord(record: LogRecord): PreparedRecord {
  switch (record.kind) {
    case RecordKind.Entry:
      return prepareEntry(record.entry);
    case RecordKind.Reset:
      return {
        tag: resetTag,
        position: record.position,
        leaderTime: 0,
        body: emptyBody,
      };
  }
}

function prepareEntry(entry: LogEntry): PreparedRecord {
  const { leaderTime } = entry;
  switch (entry.kind) {
    case EntryKind.Command:
      return {
        tag: commandTag,
        position: entry,
        leaderTime,
        body: entry.command,
      };
    case EntryKind.Members:
      return {
        tag: membersTag,
        position: entry,
        leaderTime,
        body: pack(entry.members),
      };
  }
}

function writeRecord(
  bytes: Uint8Array,
  view: DataView,
  offset: number,
  record: PreparedRecord,
): void {
  view.setUint32(offset, record.body.length, true);
  view.setUint8(offset + tagOffset, record.tag);
  view.setFloat64(offset + indexOffset, record.position.index, true);
  view.setFloat64(offset + termOffset, record.position.term, true);
  view.setFloat64(offset + leaderTimeOffset, record.leaderTime, true);
  bytes.set(record.body, offset + recordHeaderBytes);
}

function readRecord(
  payload: Uint8Array,
  view: DataView,
  offset: number,
  end: number,
): LogRecord | undefined {
  const index = view.getFloat64(offset + indexOffset, true);
  const term = view.getFloat64(offset + termOffset, true);
  const leaderTime = view.getFloat64(offset + leaderTimeOffset, true);
  const body = payload.subarray(offset + recordHeaderBytes, end);
  const base = { index, term, leaderTime };
  switch (view.getUint8(offset + tagOffset)) {
    case commandTag:
      return {
        kind: RecordKind.Entry,
        entry: { kind: EntryKind.Command, ...base, command: body },
      };
    case membersTag:
      return {
        kind: RecordKind.Entry,
        entry: {
          kind: EntryKind.Members,
          ...base,
          members: unpack(body) as Member[],
        },
      };
    case resetTag:
      return { kind: RecordKind.Reset, position: { index, term } };
    default:
      return undefined;
  }
}
