/** Applies committed entries, resolves proposals and triggers snapshots. */
import { CranberryError, TimeoutError } from '@cranberryturn/errors';
import type { LogIndex, Milliseconds, Term } from '@cranberryturn/types';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import { EntryKind, type CommandEntry, type LogEntry } from '../entries.js';
import {
  LogEventKind,
  LogUnavailableError,
  type LogEvent,
  type ProposalResult,
} from '../log-types.js';
import type { StateMachine } from '../ports/state-machine.js';
import type { Replica } from './replica.js';
import { SnapshotTaker } from './snapshot-taker.js';

type ProposalError = LogUnavailableError | TimeoutError;

interface PendingProposal<Outcome> {
  readonly term: Term;
  readonly deadline: Milliseconds;
  readonly finish: (
    result: Result<ProposalResult<Outcome>, ProposalError>,
  ) => void;
}

/** Owns the state machine of one replica. */
export class Applier<Outcome> {
  readonly #replica: Replica;
  readonly #stateMachine: StateMachine<Outcome>;
  readonly #publish: (event: LogEvent<Outcome>) => void;
  readonly #snapshotTaker: SnapshotTaker;
  readonly #pending = new Map<LogIndex, PendingProposal<Outcome>>();
  #isExpiryScheduled = false;
  #appliedIndex: LogIndex;

  constructor(
    replica: Replica,
    stateMachine: StateMachine<Outcome>,
    publish: (event: LogEvent<Outcome>) => void,
    appliedIndex: LogIndex,
  ) {
    this.#replica = replica;
    this.#stateMachine = stateMachine;
    this.#publish = publish;
    this.#snapshotTaker = new SnapshotTaker(replica, stateMachine);
    this.#appliedIndex = appliedIndex;
  }

  /** Index of the last entry applied to the state machine. */
  get appliedIndex(): LogIndex {
    return this.#appliedIndex;
  }

  /** Resolves when the command appended at `index` in `term` is applied, or fails after the propose timeout. */
  awaitOutcome(
    index: LogIndex,
    term: Term,
  ): ResultAsync<ProposalResult<Outcome>, ProposalError> {
    const { proposeTimeout } = this.#replica.tuning;
    const deadline = this.#replica.now() + proposeTimeout;
    this.#scheduleExpiry(proposeTimeout);
    return new ResultAsync(
      new Promise(finish => {
        this.#pending.set(index, { term, deadline, finish });
      }),
    );
  }

  /** Applies all committed entries that are not applied yet, then takes a snapshot if one is due. */
  applyCommitted(): void {
    const { store } = this.#replica;
    while (this.#appliedIndex < this.#replica.commitIndex) {
      if (this.#replica.isStopped) return;
      const entry = store.entryAt(this.#appliedIndex + 1);
      if (entry === undefined) return;
      this.#appliedIndex = entry.index;
      this.#applyEntry(entry);
    }
    // After a fault of the disk, the log may still lack entries that were applied before it.
    if (this.#appliedIndex <= this.#replica.commitIndex)
      this.#snapshotTaker.takeIfDue(this.#appliedIndex);
  }

  /** Replaces the state with a snapshot from the leader. */
  restore(state: Uint8Array, lastIndex: LogIndex): void {
    this.#stateMachine.restore(state, lastIndex);
    this.#appliedIndex = lastIndex;
    this.#publish({ kind: LogEventKind.Restored, lastIndex });
  }

  /** Fails every pending proposal with an unknown outcome: another leader may still commit the command. */
  failPendingProposals(): void {
    const waiting = [...this.#pending.values()];
    this.#pending.clear();
    for (const proposal of waiting) {
      proposal.finish(err(leadershipLost()));
    }
  }

  #applyEntry(entry: LogEntry): void {
    if (entry.kind === EntryKind.Command) {
      const outcome = this.#applyCommand(entry);
      if (outcome.isErr()) {
        this.#replica.fail(outcome.error);
        return;
      }
      this.#resolveProposal(entry, outcome.value);
      this.#publish({
        kind: LogEventKind.Applied,
        entry,
        outcome: outcome.value,
      });
    }
    this.#snapshotTaker.countApplied(entry);
  }

  #applyCommand(entry: CommandEntry): Result<Outcome, CranberryError> {
    try {
      return ok(this.#stateMachine.apply(entry));
    } catch (cause) {
      return err(describeApplyFailure(entry, cause));
    }
  }

  #resolveProposal(entry: CommandEntry, outcome: Outcome): void {
    const proposal = this.#pending.get(entry.index);
    if (proposal === undefined) return;
    this.#pending.delete(entry.index);
    const isSameTerm = proposal.term === entry.term;
    proposal.finish(
      isSameTerm
        ? ok({ index: entry.index, outcome })
        : err(commandOverwritten()),
    );
  }

  /** One timer covers all proposals: all have the same timeout, so the oldest expires first. */
  #scheduleExpiry(delay: Milliseconds): void {
    if (this.#isExpiryScheduled) return;
    this.#isExpiryScheduled = true;
    this.#replica.dependencies.timers.after(delay, () => {
      this.#isExpiryScheduled = false;
      this.#expireProposals();
    });
  }

  #expireProposals(): void {
    const now = this.#replica.now();
    for (const [index, proposal] of this.#pending) {
      if (proposal.deadline > now) {
        this.#scheduleExpiry(proposal.deadline - now);
        return;
      }
      this.#pending.delete(index);
      proposal.finish(err(proposalTimedOut()));
    }
  }
}

function leadershipLost(): LogUnavailableError {
  return new LogUnavailableError(
    'This replica lost leadership before the command was committed; the command may still be committed. Ask the new leader.',
    { step: 'propose command' },
    true,
  );
}

function commandOverwritten(): LogUnavailableError {
  return new LogUnavailableError(
    'Another leader overwrote the command with another entry, so the command was not committed. Propose it again.',
    { step: 'propose command' },
    false,
  );
}

function proposalTimedOut(): TimeoutError {
  return new TimeoutError(
    'The command was not committed in time; it may still be committed. Check that a majority of control hosts is running, and retry with the same request identifier.',
    { step: 'propose command' },
  );
}

function describeApplyFailure(
  entry: CommandEntry,
  cause: unknown,
): CranberryError {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new CranberryError(
    `The state machine could not apply entry ${String(entry.index)}: ${reason}. The replica stops so that its state does not diverge from the other replicas. Report the error with the index of the entry.`,
    { step: 'apply entry' },
    cause,
  );
}
