/** Receives a snapshot from the leader in chunks. */
import type { ReplicaId } from '@cranberryturn/types';

import {
  PeerReplyKind,
  type InstallSnapshotMessage,
  type PeerReply,
} from '../ports/peer-link.js';
import {
  removeSnapshotsBefore,
  writeSnapshot,
} from '../storage/snapshot-files.js';
import type { Applier } from './applier.js';
import { stoppedReply } from './replies.js';
import type { Replica } from './replica.js';

interface PartialSnapshot {
  readonly key: string;
  readonly state: Uint8Array;
  received: number;
}

/** Assembles one snapshot at a time and installs it. */
export class SnapshotReceiver {
  readonly #replica: Replica;
  readonly #applier: Pick<Applier<unknown>, 'restore'>;
  #partial: PartialSnapshot | undefined;

  constructor(replica: Replica, applier: Pick<Applier<unknown>, 'restore'>) {
    this.#replica = replica;
    this.#applier = applier;
  }

  /** Handles one chunk. The reply to the last chunk waits until the snapshot is synced and installed. */
  async handle(
    from: ReplicaId,
    message: InstallSnapshotMessage,
  ): Promise<PeerReply> {
    const replica = this.#replica;
    replica.observeTerm(message.term);
    if (message.term < replica.term) return await this.#answer(0, false);
    replica.followLeader(from);
    if (message.last.index <= replica.commitIndex) {
      const synced = await replica.store.whenSynced();
      if (synced.isErr()) return stoppedReply(replica);
      return await this.#answer(0, replica.term === message.term);
    }
    const partial = this.#addChunk(from, message);
    if (partial.received < message.totalBytes) {
      return await this.#answer(partial.received, false);
    }
    return await this.#install(message, partial.state);
  }

  #addChunk(from: ReplicaId, message: InstallSnapshotMessage): PartialSnapshot {
    const { last, term, totalBytes, offset, chunk } = message;
    const key = [from, term, last.index, totalBytes].join('/');
    if (this.#partial?.key !== key) {
      this.#partial = { key, state: new Uint8Array(totalBytes), received: 0 };
    }
    const partial = this.#partial;
    if (offset === partial.received) {
      partial.state.set(chunk, offset);
      partial.received += chunk.length;
    }
    return partial;
  }

  async #install(
    message: InstallSnapshotMessage,
    state: Uint8Array,
  ): Promise<PeerReply> {
    const replica = this.#replica;
    this.#partial = undefined;
    const { last, members, leaderTime } = message;
    const meta = { last, members, leaderTime };
    const written = await writeSnapshot(replica.dependencies.disk, {
      meta,
      state,
    });
    if (written.isErr()) {
      replica.fail(written.error);
      return stoppedReply(replica);
    }
    if (replica.isStopped) return stoppedReply(replica);
    const isCurrent = replica.term === message.term;
    if (isCurrent && last.index > replica.commitIndex) {
      replica.store.installSnapshot(meta);
      replica.commitIndex = last.index;
      this.#applier.restore(state, last.index);
      await removeSnapshotsBefore(replica.dependencies.disk, last.index);
    }
    const synced = await replica.store.whenSynced();
    if (synced.isErr()) return stoppedReply(replica);
    return await this.#answer(0, isCurrent);
  }

  async #answer(nextOffset: number, installed: boolean): Promise<PeerReply> {
    const replica = this.#replica;
    const { term } = replica;
    if (!(await replica.awaitHardState())) return stoppedReply(replica);
    const kind = PeerReplyKind.SnapshotAnswer;
    return { kind, term, nextOffset, installed };
  }
}
