/** Adapter: files in memory, for an observer on a host without a disk. */
import { okAsync } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';

/** Creates an empty disk that lasts as long as the process. Nothing on it may count as durable. */
export function createVolatileLogDisk(): LogDisk {
  const files = new Map<string, Uint8Array[]>();
  return {
    list: () => okAsync([...files.keys()].sort()),
    read: file => {
      const chunks = files.get(file);
      return okAsync(chunks === undefined ? undefined : Buffer.concat(chunks));
    },
    append: (file, bytes) => {
      const chunks = files.get(file) ?? [];
      chunks.push(Uint8Array.from(bytes));
      files.set(file, chunks);
      return okAsync();
    },
    sync: () => okAsync(),
    truncate: (file, length) => {
      const kept = Buffer.concat(files.get(file) ?? []).subarray(0, length);
      files.set(file, [kept]);
      return okAsync();
    },
    replace: (file, bytes) => {
      files.set(file, [Uint8Array.from(bytes)]);
      return okAsync();
    },
    remove: file => {
      files.delete(file);
      return okAsync();
    },
    close: () => okAsync(),
  };
}
