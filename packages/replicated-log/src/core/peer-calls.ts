/** Calls to peers with a timeout. */
import { TimeoutError, type ConnectionError } from '@cranberryturn/errors';
import type { ReplicaId } from '@cranberryturn/types';
import { err, type Result } from 'neverthrow';

import type { PeerMessage, PeerReply } from '../ports/peer-link.js';
import type { Replica } from './replica.js';

/** Sends a message and waits for the reply, at most for the peer timeout. */
export function callPeer(
  replica: Replica,
  peer: ReplicaId,
  message: PeerMessage,
): Promise<Result<PeerReply, ConnectionError | TimeoutError>> {
  const { link, timers, tuning } = replica.dependencies;
  return new Promise(resolve => {
    const timer = timers.after(tuning.peerTimeout, () => {
      resolve(err(noReply(peer, message, tuning.peerTimeout)));
    });
    void link.call(peer, message).then(result => {
      timer.cancel();
      resolve(result);
    });
  });
}

function noReply(
  peer: ReplicaId,
  message: PeerMessage,
  limit: number,
): TimeoutError {
  return new TimeoutError(
    `Replica "${peer}" did not answer a ${message.kind} message within ${String(limit)} ms. Check that its host is running and reachable.`,
    { step: `send ${message.kind}`, peer },
  );
}
