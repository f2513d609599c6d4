/** Fake disk: in-memory files that lose unsynced bytes in a crash, with seeded faults. */
import { StorageError } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';

/** Fake disk whose faults are controlled by the test. */
export interface MemoryLogDisk extends LogDisk {
  /** Delays every later sync and replace. */
  setSyncDelay(delay: Milliseconds): void;
  /** Blocks syncs and replaces until `repair`. */
  hang(): void;
  /** Ends all faults and resumes blocked operations. */
  repair(): void;
  /** Makes every later sync and replace fail. What a failed sync covered is lost in a crash, even after a later sync. */
  failSyncs(): void;
  /** Makes every later write fail, for `duration` if one is given. Appends leave a part of their bytes. */
  refuseWrites(duration?: Milliseconds): void;
  /** Crashes the process during the write operation that follows `operations` further ones. */
  crashAfter(operations: number, onCrash: () => void): void;
  /** Number of write operations so far. */
  operations(): number;
  /** Number of syncs so far, those of replaced files included. */
  syncs(): number;
  /** Number of syncs of appended files so far. */
  syncsOfAppends(): number;
  /** Crashes the process: calls in flight never settle. */
  crash(): void;
  /** Returns the disk as the next process finds it: unsynced bytes are lost, torn or kept at random. */
  afterCrash(random: RandomSource): MemoryLogDisk;
  /** Flips a bit of the byte at `offset`. */
  corruptByte(file: string, offset: number): void;
  /** Current content of a file. */
  content(file: string): Uint8Array;
  /** Names of the files. */
  files(): readonly string[];
}

interface StoredFile {
  bytes: Uint8Array;
  /** Number of leading bytes that survive a crash. */
  syncedLength: number;
  /** Bytes from here on were given up by a failed sync: only writing them again makes them survive a crash. */
  lostFrom: number;
  /** Whether the directory entry survives a crash. */
  isNameSynced: boolean;
}

const emptyBytes = new Uint8Array(0);

/** Creates an empty fake disk. */
export function createMemoryLogDisk(timers: TimerService): MemoryLogDisk {
  return buildDisk(timers, new Map());
}

function buildDisk(
  timers: TimerService,
  files: Map<string, StoredFile>,
): MemoryLogDisk {
  let syncDelay: Milliseconds = 0;
  let hangingSyncs: Promise<void> | undefined;
  let releaseHanging: () => void = () => undefined;
  let shouldFailSyncs = false;
  let isRefusingWrites = false;
  let isCrashed = false;
  let operationsLeft = Number.POSITIVE_INFINITY;
  let reportCrash: () => void = () => undefined;
  let operationCount = 0;
  let syncCount = 0;
  let appendSyncCount = 0;

  const fileOf = (name: string): StoredFile => {
    const known = files.get(name);
    if (known !== undefined) return known;
    const created = {
      bytes: emptyBytes,
      syncedLength: 0,
      lostFrom: Infinity,
      isNameSynced: false,
    };
    files.set(name, created);
    return created;
  };

  const syncNames = (): void => {
    for (const file of files.values()) file.isNameSynced = true;
  };

  const waitForSync = async (): Promise<Result<void, StorageError>> => {
    syncCount += 1;
    if (syncDelay > 0) await sleep(timers, syncDelay);
    if (hangingSyncs !== undefined) await hangingSyncs;
    if (isCrashed) await neverSettle();
    if (isRefusingWrites) return err(refusedWrite());
    return shouldFailSyncs ? err(syncFailure()) : ok();
  };

  /** Runs a write operation unless the process has crashed. A crash during it calls `applyPartially` instead. */
  const change = (
    work: () => Promise<Result<void, StorageError>>,
    applyPartially?: () => void,
  ): ResultAsync<void, StorageError> =>
    new ResultAsync(
      (async () => {
        if (isCrashed) return await neverSettle();
        operationCount += 1;
        operationsLeft -= 1;
        if (operationsLeft < 0) {
          isCrashed = true;
          applyPartially?.();
          reportCrash();
          return await neverSettle();
        }
        return await work();
      })(),
    );

  const readWhileRunning = <Value>(
    value: () => Value,
  ): ResultAsync<Value, StorageError> =>
    new ResultAsync(
      (async () => {
        if (isCrashed) return await neverSettle();
        return await Promise.resolve(ok(value()));
      })(),
    );

  const appendBytes = (name: string, bytes: Uint8Array): void => {
    const file = fileOf(name);
    const joined = new Uint8Array(file.bytes.length + bytes.length);
    joined.set(file.bytes, 0);
    joined.set(bytes, file.bytes.length);
    file.bytes = joined;
  };

  return {
    list: () => readWhileRunning(() => [...files.keys()].sort()),
    read: name => readWhileRunning(() => files.get(name)?.bytes.slice()),
    append: (name, bytes) =>
      change(
        () => {
          if (isRefusingWrites) {
            appendBytes(name, bytes.subarray(0, bytes.length / 2));
            return Promise.resolve(err(refusedWrite()));
          }
          appendBytes(name, bytes);
          return Promise.resolve(ok());
        },
        () => {
          appendBytes(name, bytes.subarray(0, bytes.length / 2));
        },
      ),
    sync: name =>
      change(async () => {
        appendSyncCount += 1;
        const file = fileOf(name);
        const { length } = file.bytes;
        const waited = await waitForSync();
        if (waited.isErr()) {
          file.lostFrom = Math.min(file.lostFrom, file.syncedLength);
          return waited;
        }
        file.syncedLength = Math.max(
          file.syncedLength,
          Math.min(length, file.lostFrom),
        );
        file.isNameSynced = true;
        return ok();
      }),
    truncate: (name, length) =>
      change(() => {
        if (isRefusingWrites) return Promise.resolve(err(refusedWrite()));
        const file = fileOf(name);
        file.bytes = file.bytes.slice(0, length);
        file.syncedLength = Math.min(length, file.lostFrom);
        return Promise.resolve(ok());
      }),
    replace: (name, bytes) =>
      change(async () => {
        const waited = await waitForSync();
        if (waited.isErr()) return waited;
        const copy = bytes.slice();
        files.set(name, {
          bytes: copy,
          syncedLength: copy.length,
          lostFrom: Infinity,
          isNameSynced: true,
        });
        syncNames();
        return ok();
      }),
    remove: name =>
      change(() => {
        if (isRefusingWrites) return Promise.resolve(err(refusedWrite()));
        files.delete(name);
        return Promise.resolve(ok());
      }),
    close: () => readWhileRunning(() => undefined),
    setSyncDelay: delay => {
      syncDelay = delay;
    },
    hang: () => {
      hangingSyncs ??= new Promise(resolve => {
        releaseHanging = resolve;
      });
    },
    repair: () => {
      hangingSyncs = undefined;
      syncDelay = 0;
      shouldFailSyncs = false;
      isRefusingWrites = false;
      operationsLeft = Number.POSITIVE_INFINITY;
      releaseHanging();
    },
    failSyncs: () => {
      shouldFailSyncs = true;
    },
    refuseWrites: duration => {
      isRefusingWrites = true;
      if (duration === undefined) return;
      timers.after(duration, () => {
        isRefusingWrites = false;
      });
    },
    crashAfter: (operations, onCrash) => {
      operationsLeft = operations;
      reportCrash = onCrash;
    },
    operations: () => operationCount,
    syncs: () => syncCount,
    syncsOfAppends: () => appendSyncCount,
    crash: () => {
      isCrashed = true;
    },
    afterCrash: random => {
      isCrashed = true;
      return buildDisk(timers, loseUnsynced(files, random));
    },
    corruptByte: (name, offset) => {
      const { bytes } = fileOf(name);
      bytes[offset] = (bytes[offset] ?? 0) ^ 1;
    },
    content: name => fileOf(name).bytes.slice(),
    files: () => [...files.keys()].sort(),
  };
}

function loseUnsynced(
  files: ReadonlyMap<string, StoredFile>,
  random: RandomSource,
): Map<string, StoredFile> {
  const kept = new Map<string, StoredFile>();
  for (const [name, file] of files) {
    if (!file.isNameSynced && random.below(2) === 0) continue;
    const bytes = tearTail(file, random);
    kept.set(name, {
      bytes,
      syncedLength: bytes.length,
      lostFrom: Infinity,
      isNameSynced: true,
    });
  }
  return kept;
}

/** Keeps a random part of the unsynced bytes and sometimes corrupts some of them. */
function tearTail(file: StoredFile, random: RandomSource): Uint8Array {
  const unsynced = file.bytes.length - file.syncedLength;
  const keptLength = file.syncedLength + random.below(unsynced + 1);
  const bytes = file.bytes.slice(0, keptLength);
  const isCorrupted = random.below(3) === 0;
  if (isCorrupted && keptLength > file.syncedLength) {
    const start =
      file.syncedLength + random.below(keptLength - file.syncedLength);
    bytes.fill(0, start, Math.min(keptLength, start + 8));
  }
  return bytes;
}

function syncFailure(): StorageError {
  return new StorageError(
    'The fake disk fails syncs because the test called `failSyncs`.',
    { step: 'sync file' },
  );
}

function refusedWrite(): StorageError {
  return new StorageError(
    'The fake disk takes no more bytes because the test called `refuseWrites`.',
    { step: 'write file' },
  );
}

/** Result of a call from a crashed process. */
const neverSettle = (): Promise<never> => new Promise<never>(() => undefined);
