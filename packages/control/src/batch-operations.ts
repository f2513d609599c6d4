/** Batches operations: those submitted in one turn of the event loop become one log entry. */
import type { TimeoutError } from '@cranberryturn/errors';
import type {
  LogUnavailableError,
  ReplicatedLog,
} from '@cranberryturn/replicated-log';
import { LogUnavailableError as UnavailableLog } from '@cranberryturn/replicated-log';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import {
  type ControlOperation,
  encodeOperations,
  type OperationOutcome,
} from './control-operations.js';
import type { EntryOutcome } from './control-state.js';

const maximumOperationsPerEntry = 1_024;

/** Why an operation has no outcome. A timed-out operation may still be applied. */
export type ProposeError = LogUnavailableError | TimeoutError;

/**
 * Submits operations to the log. Used by dispatcher connections, operators and the tasks of the
 * leader.
 */
export interface OperationProposer {
  submit(
    operation: ControlOperation,
  ): ResultAsync<OperationOutcome, ProposeError>;
}

interface QueuedOperation {
  readonly operation: ControlOperation;
  readonly settle: (result: Result<OperationOutcome, ProposeError>) => void;
}

/** Creates a proposer for a log. Entries hold at most 1,024 operations. */
export function createOperationProposer(
  log: Pick<ReplicatedLog<EntryOutcome>, 'propose'>,
): OperationProposer {
  let queued: QueuedOperation[] = [];

  const proposeBatch = async (
    batch: readonly QueuedOperation[],
  ): Promise<void> => {
    const command = encodeOperations(batch.map(entry => entry.operation));
    const proposed = await log.propose(command);
    for (const [position, entry] of batch.entries()) {
      entry.settle(
        proposed.andThen(({ outcome }) => readOutcome(outcome, position)),
      );
    }
  };

  const flush = (): void => {
    const operations = queued;
    queued = [];
    for (let from = 0; from < operations.length;) {
      const batch = operations.slice(from, from + maximumOperationsPerEntry);
      from += batch.length;
      void proposeBatch(batch);
    }
  };

  return {
    submit: operation =>
      new ResultAsync(
        new Promise(settle => {
          queued.push({ operation, settle });
          if (queued.length === 1) setImmediate(flush);
        }),
      ),
  };
}

function readOutcome(
  outcomes: EntryOutcome,
  position: number,
): Result<OperationOutcome, ProposeError> {
  const outcome = outcomes[position];
  if (outcome !== undefined) return ok(outcome);
  return err(
    new UnavailableLog(
      'The log returned no outcome for an operation; retry the call.',
      { step: 'propose operations' },
      true,
    ),
  );
}
