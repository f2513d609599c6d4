/** Hard state of Raft: the term and the vote, synced before any reply that depends on them. */
import { StorageError, type CorruptionError } from '@cranberryturn/errors';
import type { ReplicaId, Term } from '@cranberryturn/types';
import type { Result, ResultAsync } from 'neverthrow';
import { ok } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';
import { readFramedFile, writeFramedFile } from './framed-file.js';

const hardStateFile = 'hard-state';

/** Election state that must survive a crash. */
export interface HardState {
  readonly term: Term;
  readonly votedFor?: ReplicaId | undefined;
}

/** Reads the hard state; term 0 without a vote when none is stored. */
export function readHardState(
  disk: LogDisk,
): ResultAsync<HardState, StorageError | CorruptionError> {
  return readFramedFile<HardState>(disk, hardStateFile).map(
    state => state ?? { term: 0 },
  );
}

/** Writes hard states sequentially, in the order of the calls to `save`. */
export class HardStateWriter {
  readonly #disk: LogDisk;
  #synced: Promise<Result<void, StorageError>> = Promise.resolve(ok());

  constructor(disk: LogDisk) {
    this.#disk = disk;
  }

  /** Resolves when this state and all earlier ones are synced. Nothing is written after a failure. */
  save(state: HardState): Promise<Result<void, StorageError>> {
    const previous = this.#synced;
    this.#synced = previous.then(async result =>
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
