/** Planned handover of the lead to a caught-up voter. */
import type { ReplicaId } from '@cranberryturn/types';
import { errAsync, err, ok, ResultAsync, type Result } from 'neverthrow';

import { LogUnavailableError } from '../log-types.js';
import { PeerMessageKind } from '../ports/peer-link.js';
import type { Leadership } from './leadership.js';
import { callPeer } from './peer-calls.js';
import type { PeerProgress } from './peer-progress.js';
import type { Replica } from './replica.js';

/** Hands the lead over; proposals are refused meanwhile. On failure this replica leads on. */
export function transferLeadership(
  replica: Replica,
): ResultAsync<ReplicaId, LogUnavailableError> {
  const { leadership } = replica;
  if (leadership === undefined) {
    return errAsync(transferFailed('this replica does not lead'));
  }
  if (leadership.isTransferring) {
    return errAsync(transferFailed('another handover is running'));
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
    return err(transferFailed(`"${target.replicaId}" did not take the lead`));
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
    `The lead was not handed over: ${reason}. The other control hosts elect a leader by themselves when this one stops.`,
    { step: 'hand over leadership' },
    false,
  );
}
