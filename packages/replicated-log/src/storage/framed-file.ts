/** Small files that are replaced atomically: one frame with a MessagePack payload. */
import { CorruptionError, type StorageError } from '@cranberryturn/errors';
import { pack, unpack } from 'msgpackr';
import { err, ok, type ResultAsync } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';
import { decodeFrame, encodeFrame } from './frame-codec.js';

/** Reads the value of a file; undefined when the file does not exist. */
export function readFramedFile<Value>(
  disk: LogDisk,
  file: string,
): ResultAsync<Value | undefined, StorageError | CorruptionError> {
  return disk.read(file).andThen(bytes => {
    if (bytes === undefined) return ok(undefined);
    const frame = decodeFrame(bytes, 0);
    if (frame?.end !== bytes.length) return err(fileCorrupt(file, 0));
    return ok(unpack(frame.payload) as Value);
  });
}

/** Replaces the file with the encoded value. Durable once resolved. */
export function writeFramedFile(
  disk: LogDisk,
  file: string,
  value: unknown,
): ResultAsync<void, StorageError> {
  return disk.replace(file, encodeFrame(pack(value), 0));
}

/** Error for stored data that cannot be decoded or does not match its checksum. */
export function fileCorrupt(file: string, offset: number): CorruptionError {
  return new CorruptionError(
    `File "${file}" of the replicated log is corrupt at offset ${String(offset)}. This replica stays stopped: keep the data folder for inspection, give the host an empty data folder, and replace the replica with a new one.`,
    { step: 'read replicated log' },
  );
}
