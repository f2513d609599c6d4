/** Proposals of commands. */
import type { TimeoutError } from '@cranberryturn/errors';
import { errAsync, type ResultAsync } from 'neverthrow';

import { LogUnavailableError, type ProposalResult } from '../log-types.js';
import type { Applier } from './applier.js';
import type { Replica } from './replica.js';

/** Appends a command and waits until the command is committed and applied. Fails unless this replica leads. */
export function proposeCommand<Outcome>(
  replica: Replica,
  applier: Applier<Outcome>,
  command: Uint8Array,
): ResultAsync<ProposalResult<Outcome>, LogUnavailableError | TimeoutError> {
  replica.leadership?.checkQuorum();
  const { leadership } = replica;
  if (leadership === undefined) return errAsync(notLeader(replica));
  if (leadership.isTransferring) return errAsync(transferInProgress());
  const index = leadership.appendCommand(command);
  return applier.awaitOutcome(index, leadership.term);
}

/** Error for requests to a replica that is not the leader. Names the leader if known. */
export function notLeader(replica: Replica): LogUnavailableError {
  const advice =
    replica.leader === undefined
      ? 'No leader is known; retry within two seconds.'
      : `Ask the leader "${replica.leader}".`;
  return new LogUnavailableError(
    `Replica "${replica.replicaId}" is not the leader of the replicated log. ${advice}`,
    { step: 'propose command', peer: replica.leader },
    false,
    replica.leader,
  );
}

function transferInProgress(): LogUnavailableError {
  return new LogUnavailableError(
    'This replica is transferring leadership. Retry within two seconds.',
    { step: 'propose command' },
    false,
  );
}
