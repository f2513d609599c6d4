/** Replies that refuse a message. */
import { PeerReplyKind, type RefusedReply } from '../ports/peer-link.js';
import type { Replica } from './replica.js';

/** Reply of a stopped replica. Changes that were not synced before the stop must not be acknowledged. */
export function stoppedReply(replica: Replica): RefusedReply {
  return {
    kind: PeerReplyKind.Refused,
    reason: replica.failure?.message ?? 'The replica is stopped.',
    wrongIdentity: false,
    isStopped: true,
  };
}

/** Reply to a message for another identity. */
export function wrongIdentityReply(replica: Replica): RefusedReply {
  return {
    kind: PeerReplyKind.Refused,
    reason: `The replica here is "${replica.replicaId}". Replace the previous replica of this host with it.`,
    wrongIdentity: true,
  };
}

/** Reply until the bootstrap is done: the data folder may be an empty replacement of a lost one. */
export function notBootstrappedReply(): RefusedReply {
  return {
    kind: PeerReplyKind.Refused,
    reason:
      'The bootstrap is not done: some founding members have not answered yet.',
    wrongIdentity: false,
  };
}

/** Reply of a host that takes no part in the founding of a log. */
export function notSeedReply(): RefusedReply {
  return {
    kind: PeerReplyKind.Refused,
    reason:
      'This host does not take part in the founding of the log: it is no seed, has been started again, or belongs to a group.',
    wrongIdentity: false,
  };
}
