/** Port: the files of one replica, all in one data folder. */
import type { StorageError } from '@cranberryturn/errors';
import type { ResultAsync } from 'neverthrow';

/** Files below one data folder. Calls on the same file are made one after the other. */
export interface LogDisk {
  /** Names of all files, sorted. */
  list(): ResultAsync<readonly string[], StorageError>;
  /** Whole content of a file; undefined when the file does not exist. */
  read(file: string): ResultAsync<Uint8Array | undefined, StorageError>;
  /** Writes bytes at the end of a file and creates it when missing. Lost in a crash until synced. */
  append(file: string, bytes: Uint8Array): ResultAsync<void, StorageError>;
  /** Makes everything appended to a file, and its creation, survive a crash. Never retried after a failure. */
  sync(file: string): ResultAsync<void, StorageError>;
  /** Cuts a file to `length` bytes and syncs it. */
  truncate(file: string, length: number): ResultAsync<void, StorageError>;
  /** Replaces a whole file: after a crash it holds the old or the new content. Synced when it resolves. */
  replace(file: string, bytes: Uint8Array): ResultAsync<void, StorageError>;
  /** Removes a file. A removed file may come back after a crash. */
  remove(file: string): ResultAsync<void, StorageError>;
  /** Releases open files. */
  close(): ResultAsync<void, StorageError>;
}
