/** Bootstrap of a log: a replica votes only once every founding member has reported its data folder, or was replaced. */
import { ConflictError } from '@cranberryturn/errors';
import type { ReplicaId } from '@cranberryturn/types';

import {
  PeerMessageKind,
  PeerReplyKind,
  type PeerReply,
} from '../ports/peer-link.js';
import type { FounderFolder, Identity } from '../storage/identity.js';
import { callPeer } from './peer-calls.js';
import { stoppedReply } from './replies.js';
import type { Replica } from './replica.js';
import type { StoredIdentity } from './stored-identity.js';

/** What is known of another founding member. */
enum FounderState {
  Unknown = 'unknown',
  Identified = 'identified',
  /** Another identity runs at its address, so it has lost its data folder or never had one. */
  Replaced = 'replaced',
  /** It has recorded another data folder for this replica. */
  Conflicting = 'conflicting',
}

type FounderReport = { readonly replicaId: ReplicaId } & (
  | { readonly state: FounderState.Identified; readonly folderId: string }
  | { readonly state: Exclude<FounderState, FounderState.Identified> }
);

/**
 * Bootstraps one replica. A founding member that lost its data folder learns from another member
 * that a different folder is on record, and stops instead of voting a second time.
 */
export class Bootstrap {
  readonly #replica: Replica;
  readonly #stored: StoredIdentity;

  constructor(replica: Replica, stored: StoredIdentity) {
    this.#replica = replica;
    this.#stored = stored;
  }

  /** Whether the data folder is confirmed as the one of this identity. Until then the replica refuses messages. */
  get isDone(): boolean {
    const joined = this.#stored.identity.foundingMembers.length === 0;
    return joined || this.#stored.identity.founders !== undefined;
  }

  /**
   * Identifies this replica to the other founding members and retries until all have replied or are
   * replaced. Skipped when an earlier run has stored the replies.
   */
  async run(): Promise<void> {
    const replica = this.#replica;
    // The settings of a restart may not name the founding members any more.
    replica.store.setInitialMembers(this.#stored.identity.foundingMembers);
    while (!replica.isStopped) {
      if (this.isDone) {
        replica.postponeElection();
        return;
      }
      const founders = await this.#identifyFounders();
      if (founders === undefined) {
        await replica.changed.wait(replica.tuning.heartbeatInterval);
        continue;
      }
      await this.#stored.change(identity => ({ ...identity, founders }));
    }
  }

  /**
   * Replies to the identify message of another founding member. Its folder is on the disk before the
   * reply, because it may vote from then on.
   */
  async answerIdentify(from: ReplicaId, folderId: string): Promise<PeerReply> {
    const isRecorded = await this.#stored.change(identity =>
      recordFolder(identity, { replicaId: from, folderId }),
    );
    if (!isRecorded || this.#replica.isStopped)
      return stoppedReply(this.#replica);
    return {
      kind: PeerReplyKind.Identified,
      folderId: this.#stored.identity.folderId,
      knownFolderId: findFolder(this.#stored.identity, from)?.folderId,
    };
  }

  async #identifyFounders(): Promise<readonly FounderFolder[] | undefined> {
    const { replicaId, folderId, foundingMembers } = this.#stored.identity;
    const others = foundingMembers.filter(
      member => member.replicaId !== replicaId,
    );
    const reports = await Promise.all(
      others.map(member => this.#identifyFounder(member.replicaId)),
    );
    const failure = findFailure(replicaId, reports);
    if (failure !== undefined) {
      this.#replica.fail(failure);
      return undefined;
    }
    const isComplete = reports.every(
      ({ state }) => state !== FounderState.Unknown,
    );
    if (!isComplete) return undefined;
    const folders = reports.flatMap(report =>
      report.state === FounderState.Identified
        ? [{ replicaId: report.replicaId, folderId: report.folderId }]
        : [],
    );
    return [{ replicaId, folderId }, ...folders];
  }

  async #identifyFounder(peer: ReplicaId): Promise<FounderReport> {
    const { folderId } = this.#stored.identity;
    const reply = await callPeer(this.#replica, peer, {
      kind: PeerMessageKind.Identify,
      to: peer,
      term: this.#replica.term,
      folderId,
    });
    if (reply.isErr()) return { state: FounderState.Unknown, replicaId: peer };
    return composeReport(peer, reply.value, folderId);
  }
}

function composeReport(
  peer: ReplicaId,
  reply: PeerReply,
  ownFolderId: string,
): FounderReport {
  if (reply.kind === PeerReplyKind.Refused && reply.wrongIdentity)
    return { state: FounderState.Replaced, replicaId: peer };
  if (reply.kind !== PeerReplyKind.Identified)
    return { state: FounderState.Unknown, replicaId: peer };
  const { folderId, knownFolderId = ownFolderId } = reply;
  return knownFolderId === ownFolderId
    ? { state: FounderState.Identified, replicaId: peer, folderId }
    : { state: FounderState.Conflicting, replicaId: peer };
}

/** Records the folder of a founding member, unless one is on record. */
function recordFolder(identity: Identity, folder: FounderFolder): Identity {
  const { foundingMembers, answeredFounders = [] } = identity;
  const isFounder = foundingMembers.some(
    ({ replicaId }) => replicaId === folder.replicaId,
  );
  if (!isFounder || findFolder(identity, folder.replicaId) !== undefined)
    return identity;
  return { ...identity, answeredFounders: [...answeredFounders, folder] };
}

/** A folder that was answered first counts: its replica may have voted since. */
function findFolder(
  { answeredFounders = [], founders = [] }: Identity,
  replicaId: ReplicaId,
): FounderFolder | undefined {
  return [...answeredFounders, ...founders].find(
    founder => founder.replicaId === replicaId,
  );
}

/** Finds why this replica must not vote. Replaced founding members cannot tell whether it has voted before. */
function findFailure(
  replicaId: ReplicaId,
  reports: readonly FounderReport[],
): ConflictError | undefined {
  const conflicting = reports.find(
    report => report.state === FounderState.Conflicting,
  );
  if (conflicting !== undefined)
    return folderReplaced(replicaId, conflicting.replicaId);
  const replaced = reports.flatMap(report =>
    report.state === FounderState.Replaced ? [report.replicaId] : [],
  );
  const members = reports.length + 1;
  return members - replaced.length > members / 2
    ? undefined
    : majorityReplaced(replicaId, replaced);
}

function folderReplaced(replicaId: ReplicaId, peer: ReplicaId): ConflictError {
  return new ConflictError(
    `Replica "${replicaId}" has already taken part in the log with another data folder, according to "${peer}". It must not vote again under this identity: start it with an empty data folder so that it joins under a new identity, then replace "${replicaId}" with the new replica.`,
    { step: 'bootstrap replicated log', peer },
  );
}

function majorityReplaced(
  replicaId: ReplicaId,
  replaced: readonly ReplicaId[],
): ConflictError {
  return new ConflictError(
    `The log cannot be founded with replica "${replicaId}": other replicas run in the place of ${replaced.map(one => `"${one}"`).join(', ')}, so less than a majority of the founding members is left. If the log exists, start this replica with an empty data folder so that it joins under a new identity, then replace "${replicaId}" with the new replica. Otherwise start all founding members with empty data folders.`,
    { step: 'bootstrap replicated log', peer: replaced.join(', ') },
  );
}
