/** Bootstrap of a log: a replica votes only once every founding member has reported its data folder. */
import { ConflictError } from '@cranberryturn/errors';
import type { ReplicaId } from '@cranberryturn/types';

import type { LogDisk } from '../ports/log-disk.js';
import {
  PeerMessageKind,
  PeerReplyKind,
  type IdentifiedReply,
  type PeerReply,
} from '../ports/peer-link.js';
import {
  writeIdentity,
  type FounderFolder,
  type Identity,
} from '../storage/identity.js';
import { callPeer } from './peer-calls.js';
import type { Replica } from './replica.js';

/**
 * Bootstraps one replica. A founding member that lost its data folder learns from another member
 * that a different folder is on record, and stops instead of voting a second time.
 */
export class Bootstrap {
  readonly #replica: Replica;
  readonly #disk: LogDisk;
  #identity: Identity;

  constructor(replica: Replica, disk: LogDisk, identity: Identity) {
    this.#replica = replica;
    this.#disk = disk;
    this.#identity = identity;
  }

  /** Whether the data folder is confirmed as the one of this identity. Until then the replica refuses messages. */
  get isDone(): boolean {
    const joined = this.#identity.foundingMembers.length === 0;
    return joined || this.#identity.founders !== undefined;
  }

  /**
   * Identifies this replica to the other founding members and retries until all have replied.
   * Skipped when an earlier run has stored the replies.
   */
  async run(): Promise<void> {
    const replica = this.#replica;
    while (!replica.isStopped) {
      if (this.isDone) {
        replica.store.setInitialMembers(this.#identity.foundingMembers);
        replica.postponeElection();
        return;
      }
      const founders = await this.#identifyFounders();
      if (founders === undefined) {
        await replica.changed.wait(replica.tuning.heartbeatInterval);
        continue;
      }
      const founded = { ...this.#identity, founders };
      const written = await writeIdentity(this.#disk, founded);
      if (written.isErr()) {
        replica.fail(written.error);
        return;
      }
      this.#identity = founded;
    }
  }

  /** Replies to the identify message of another founding member. */
  answerIdentify(from: ReplicaId): IdentifiedReply {
    const known = this.#identity.founders?.find(
      founder => founder.replicaId === from,
    );
    return {
      kind: PeerReplyKind.Identified,
      folderId: this.#identity.folderId,
      knownFolderId: known?.folderId,
    };
  }

  async #identifyFounders(): Promise<readonly FounderFolder[] | undefined> {
    const { replicaId, folderId, foundingMembers } = this.#identity;
    const others = foundingMembers.filter(
      member => member.replicaId !== replicaId,
    );
    const answers = await Promise.all(
      others.map(member => this.#identifyFounder(member.replicaId)),
    );
    const folders = answers.filter(answer => answer !== undefined);
    if (folders.length < others.length) return undefined;
    return [{ replicaId, folderId }, ...folders];
  }

  async #identifyFounder(peer: ReplicaId): Promise<FounderFolder | undefined> {
    const { folderId } = this.#identity;
    const reply = await callPeer(this.#replica, peer, {
      kind: PeerMessageKind.Identify,
      to: peer,
      term: this.#replica.term,
      folderId,
    });
    if (reply.isErr()) return undefined;
    if (isKnownByOtherFolder(reply.value, folderId)) {
      this.#replica.fail(folderReplaced(this.#identity.replicaId, peer));
      return undefined;
    }
    if (reply.value.kind !== PeerReplyKind.Identified) return undefined;
    return { replicaId: peer, folderId: reply.value.folderId };
  }
}

/** True when the peer has recorded another data folder for this replica. */
function isKnownByOtherFolder(reply: PeerReply, folderId: string): boolean {
  if (reply.kind === PeerReplyKind.Refused) return reply.wrongIdentity;
  if (reply.kind !== PeerReplyKind.Identified) return false;
  return reply.knownFolderId !== undefined && reply.knownFolderId !== folderId;
}

function folderReplaced(replicaId: ReplicaId, peer: ReplicaId): ConflictError {
  return new ConflictError(
    `Replica "${replicaId}" has already taken part in the log with another data folder, according to "${peer}". It must not vote again under this identity: start it with an empty data folder so that it joins under a new identity, then replace "${replicaId}" with the new replica.`,
    { step: 'bootstrap replicated log', peer },
  );
}
