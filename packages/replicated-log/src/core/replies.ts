/** Replies of a replica that does not take a message. */
import { PeerReplyKind, type RefusedReply } from '../ports/peer-link.js';
import type { Replica } from './replica.js';

/** The replica has stopped; nothing that it did since counts. */
export function stoppedReply(replica: Replica): RefusedReply {
  return {
    kind: PeerReplyKind.Refused,
    reason: replica.failure?.message ?? 'The replica is stopped.',
    wrongIdentity: false,
  };
}

/** The message was meant for another identity. */
export function wrongIdentityReply(replica: Replica): RefusedReply {
  return {
    kind: PeerReplyKind.Refused,
    reason: `The replica here is "${replica.replicaId}". Replace the former replica of this host by it.`,
    wrongIdentity: true,
  };
}

/** The data folder may be a blank one in the place of a lost one. */
export function notBootstrappedReply(): RefusedReply {
  return {
    kind: PeerReplyKind.Refused,
    reason: 'Not every founding member has answered yet.',
    wrongIdentity: false,
  };
}
