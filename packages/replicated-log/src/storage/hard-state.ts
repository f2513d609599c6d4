/** Hard state: the term and the vote, synced before any reply that depends on them. */
import { StorageError, type CorruptionError } from '@cranberryturn/errors';
import type { ReplicaId, Term } from '@cranberryturn/types';
import type { Result, ResultAsync } from 'neverthrow';
import { ok } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';
import { readFramedFile, writeFramedFile } from './framed-file.js';

const hardStateFile = 'hard-state';

/** What a replica must never forget about elections. */
export interface HardState {
  readonly term: Term;
  readonly votedFor?: ReplicaId | undefined;
}

/** Reads the hard state; term 0 without a vote when there is none. */
export function readHardState(
  disk: LogDisk,
): ResultAsync<HardState, StorageError | CorruptionError> {
  return readFramedFile<HardState>(disk, hardStateFile).map(
    state => state ?? { term: 0 },
  );
}

/** Writes hard states one after the other, in the order in which they were saved. */
export class HardStateWriter {
  readonly #disk: LogDisk;
  #synced: Promise<Result<void, StorageError>> = Promise.resolve(ok());

  constructor(disk: LogDisk) {
    this.#disk = disk;
  }

  /** Resolves when this state and all saved before it are synced. After a failure nothing more is written. */
  save(state: HardState): Promise<Result<void, StorageError>> {
    const former = this.#synced;
    this.#synced = former.then(async result =>
      result.isErr()
        ? result
        : await writeFramedFile(this.#disk, hardStateFile, state),
    );
    return this.#synced;
  }

  /** Resolves when every saved state is synced. */
  whenSynced(): Promise<Result<void, StorageError>> {
    return this.#synced;
  }
}
