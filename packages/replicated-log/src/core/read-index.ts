/** Proves by a round trip to a majority that this replica leads. */
import { TimeoutError } from '@cranberryturn/errors';
import { err, ok, type Result } from 'neverthrow';

import { LogUnavailableError, type LeadershipProof } from '../log-types.js';
import type { Leadership } from './leadership.js';
import { notLeading } from './proposals.js';
import type { Replica } from './replica.js';

/** Resolves once a majority answered a heartbeat that was sent after the call. */
export async function confirmLeadership(
  replica: Replica,
): Promise<Result<LeadershipProof, LogUnavailableError | TimeoutError>> {
  const { leadership } = replica;
  if (leadership === undefined) return err(notLeading(replica));
  const isReady = (): boolean => replica.commitIndex >= leadership.firstIndex;
  await awaitLeading(replica, leadership, isReady);
  if (!leadership.isActive) return err(notLeading(replica));
  if (!isReady()) return err(noProof());
  const readIndex = replica.commitIndex;
  const provedAt = replica.now();
  leadership.round += 1;
  const { round } = leadership;
  for (const peer of leadership.peers.values()) peer.heartbeatWanted.notify();
  const isProved = (): boolean => leadership.majorityRound() >= round;
  await awaitLeading(replica, leadership, isProved);
  if (!leadership.isActive) return err(notLeading(replica));
  if (!isProved()) return err(noProof());
  return ok({ readIndex, provedAt });
}

async function awaitLeading(
  replica: Replica,
  leadership: Leadership,
  condition: () => boolean,
): Promise<void> {
  await leadership.changed.waitUntil(
    () => !leadership.isActive || condition(),
    replica.tuning.proposeTimeout,
  );
}

function noProof(): TimeoutError {
  return new TimeoutError(
    'No majority of control hosts confirmed the lead in time. Check that they run and reach each other.',
    { step: 'confirm leadership' },
  );
}
