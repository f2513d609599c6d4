/** Leadership transfer to an up-to-date voter. */
import type { ReplicaId } from '@cranberryturn/types';
import { errAsync, err, ok, ResultAsync, type Result } from 'neverthrow';

import { LogUnavailableError } from '../log-types.js';
import { PeerMessageKind } from '../ports/peer-link.js';
import type { Leadership } from './leadership.js';
import { callPeer } from './peer-calls.js';
import type { PeerProgress } from './peer-progress.js';
import type { Replica } from './replica.js';

/** Transfers leadership. Proposals are refused meanwhile. On failure this replica remains leader. */
export function transferLeadership(
  replica: Replica,
): ResultAsync<ReplicaId, LogUnavailableError> {
  const { leadership } = replica;
  if (leadership === undefined) {
    return errAsync(transferFailed('this replica is not the leader'));
  }
  if (leadership.isTransferring) {
    return errAsync(transferFailed('another transfer is in progress'));
  }
  return new ResultAsync(runTransfer(replica, leadership));
}

async function runTransfer(
  replica: Replica,
  leadership: Leadership,
): Promise<Result<ReplicaId, LogUnavailableError>> {
  leadership.isTransferring = true;
  const target = await awaitCaughtUpVoter(replica, leadership);
  if (target !== undefined && leadership.isActive) {
    await callPeer(replica, target.replicaId, {
      kind: PeerMessageKind.TimeoutNow,
      to: target.replicaId,
      term: leadership.term,
    });
    await leadership.ended.waitUntil(
      () => !leadership.isActive,
      replica.tuning.maximumElectionTimeout,
    );
  }
  leadership.isTransferring = false;
  if (target === undefined) {
    return err(transferFailed('no other voter has caught up'));
  }
  if (leadership.isActive) {
    return err(transferFailed(`"${target.replicaId}" did not become leader`));
  }
  return ok(target.replicaId);
}

async function awaitCaughtUpVoter(
  replica: Replica,
  leadership: Leadership,
): Promise<PeerProgress | undefined> {
  let target: PeerProgress | undefined;
  await leadership.changed.waitUntil(() => {
    target = findCaughtUpVoter(replica, leadership);
    return target !== undefined || !leadership.isActive;
  }, replica.tuning.maximumElectionTimeout);
  return target;
}

function findCaughtUpVoter(
  replica: Replica,
  leadership: Leadership,
): PeerProgress | undefined {
  const newestContact = replica.now() - replica.tuning.minimumElectionTimeout;
  return replica
    .voters()
    .map(voter => leadership.peers.get(voter.replicaId))
    .filter(peer => peer !== undefined)
    .filter(peer => peer.contactSentAt >= newestContact)
    .find(peer => peer.matchIndex >= replica.store.last.index);
}

function transferFailed(reason: string): LogUnavailableError {
  return new LogUnavailableError(
    `Leadership was not transferred: ${reason}. The other control hosts elect a leader on their own when this one stops.`,
    { step: 'transfer leadership' },
    false,
  );
}
