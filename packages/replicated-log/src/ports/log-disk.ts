/** Port: file access of one replica, limited to its data folder. */
import type { StorageError } from '@cranberryturn/errors';
import type { ResultAsync } from 'neverthrow';

/** Files in one data folder. Callers serialize calls on the same file. */
export interface LogDisk {
  /** Lists the names of all files, sorted. */
  list(): ResultAsync<readonly string[], StorageError>;
  /** Reads a whole file; undefined when the file does not exist. */
  read(file: string): ResultAsync<Uint8Array | undefined, StorageError>;
  /** Appends bytes and creates the file when missing. A crash may lose the bytes until `sync`. */
  append(file: string, bytes: Uint8Array): ResultAsync<void, StorageError>;
  /** Makes the appended bytes and the creation of the file durable. Must not be retried after a failure. */
  sync(file: string): ResultAsync<void, StorageError>;
  /** Truncates a file to `length` bytes and syncs it. */
  truncate(file: string, length: number): ResultAsync<void, StorageError>;
  /** Replaces a file atomically: after a crash it has the old or the new content. Durable once resolved. */
  replace(file: string, bytes: Uint8Array): ResultAsync<void, StorageError>;
  /** Removes a file. The file may reappear after a crash. */
  remove(file: string): ResultAsync<void, StorageError>;
  /** Closes open files. */
  close(): ResultAsync<void, StorageError>;
}
