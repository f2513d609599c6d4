/** Disk access that ends with the replica it was given to. */
import { StorageError } from '@cranberryturn/errors';
import { errAsync, ResultAsync } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';

/** Access to a disk that can be revoked. */
export interface RevocableDisk {
  readonly disk: LogDisk;
  /** Refuses all later calls. Resolves once the calls in progress have ended, and the files are closed. */
  revoke(): Promise<void>;
}

/**
 * Grants access to a disk. Another replica may open the files only after the access was revoked: a late write of the
 * former replica would change them below it.
 */
export function grantDisk(disk: LogDisk): RevocableDisk {
  const inProgress = new Set<Promise<unknown>>();
  let isRevoked = false;

  const run = <Value>(
    call: () => ResultAsync<Value, StorageError>,
  ): ResultAsync<Value, StorageError> => {
    if (isRevoked) return errAsync(createRevokedError());
    const running = Promise.resolve(call());
    inProgress.add(running);
    void running.then(() => inProgress.delete(running));
    return new ResultAsync(running);
  };

  return {
    disk: {
      list: () => run(() => disk.list()),
      read: file => run(() => disk.read(file)),
      append: (file, bytes) => run(() => disk.append(file, bytes)),
      sync: file => run(() => disk.sync(file)),
      truncate: (file, length) => run(() => disk.truncate(file, length)),
      replace: (file, bytes) => run(() => disk.replace(file, bytes)),
      remove: file => run(() => disk.remove(file)),
      close: () => run(() => disk.close()),
    },
    revoke: async () => {
      isRevoked = true;
      await Promise.all(inProgress);
      await disk.close();
    },
  };
}

function createRevokedError(): StorageError {
  return new StorageError(
    'The replica has stopped, and another one may use its files.',
    { step: 'access disk' },
  );
}
