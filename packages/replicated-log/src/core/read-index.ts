/** Confirms leadership by a round trip to a quorum (the read index of Raft). */
import { TimeoutError } from '@cranberryturn/errors';
import { err, ok, type Result } from 'neverthrow';

import { LogUnavailableError, type LeadershipProof } from '../log-types.js';
import type { Leadership } from './leadership.js';
import { notLeader } from './proposals.js';
import type { Replica } from './replica.js';

/** Resolves once a quorum answered a heartbeat that was sent after the call. */
export async function confirmLeadership(
  replica: Replica,
): Promise<Result<LeadershipProof, LogUnavailableError | TimeoutError>> {
  const { leadership } = replica;
  if (leadership === undefined) return err(notLeader(replica));
  const isReady = (): boolean => replica.commitIndex >= leadership.firstIndex;
  await waitWhileLeading(replica, leadership, isReady);
  if (!leadership.isActive) return err(notLeader(replica));
  if (!isReady()) return err(leadershipNotConfirmed());
  const readIndex = replica.commitIndex;
  const provedAt = replica.now();
  leadership.confirmationRound += 1;
  const { confirmationRound } = leadership;
  for (const peer of leadership.peers.values())
    peer.heartbeatRequested.notify();
  const isConfirmed = (): boolean =>
    leadership.quorumConfirmedRound() >= confirmationRound;
  await waitWhileLeading(replica, leadership, isConfirmed);
  if (!leadership.isActive) return err(notLeader(replica));
  if (!isConfirmed()) return err(leadershipNotConfirmed());
  return ok({ readIndex, provedAt });
}

async function waitWhileLeading(
  replica: Replica,
  leadership: Leadership,
  condition: () => boolean,
): Promise<void> {
  await leadership.changed.waitUntil(
    () => !leadership.isActive || condition(),
    replica.tuning.proposeTimeout,
  );
}

function leadershipNotConfirmed(): TimeoutError {
  return new TimeoutError(
    'No majority of control hosts confirmed the leadership of this replica in time. Check that they are running and can reach each other.',
    { step: 'confirm leadership' },
  );
}
