/** The identity of a running replica and its changes, which are written one after the other. */
import type { LogDisk } from '../ports/log-disk.js';
import { writeIdentity, type Identity } from '../storage/identity.js';
import type { Replica } from './replica.js';

/** The identity as it is on the disk. */
export class StoredIdentity {
  readonly #replica: Replica;
  readonly #disk: LogDisk;
  #identity: Identity;
  /** Resolves after the latest write. */
  #written: Promise<boolean> = Promise.resolve(true);

  constructor(replica: Replica, disk: LogDisk, identity: Identity) {
    this.#replica = replica;
    this.#disk = disk;
    this.#identity = identity;
  }

  get identity(): Identity {
    return this.#identity;
  }

  /** Writes a change after earlier ones. Resolves with false when the write has failed, which stops the replica. */
  change(compose: (identity: Identity) => Identity): Promise<boolean> {
    this.#written = this.#written.then(async () => {
      const changed = compose(this.#identity);
      if (changed === this.#identity) return true;
      const written = await writeIdentity(this.#disk, changed);
      if (written.isErr()) {
        this.#replica.fail(written.error);
        return false;
      }
      this.#identity = changed;
      return true;
    });
    return this.#written;
  }
}
