/** Public service of one replica. */
import {
  type ConflictError,
  type InvalidInputError,
  StorageError,
  type TimeoutError,
} from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { LogIndex, Milliseconds, ReplicaId } from '@cranberryturn/types';
import { ResultAsync } from 'neverthrow';

import {
  LogEventKind,
  ReplicaRole,
  type LeadershipProof,
  type LogEvent,
  type LogStatus,
  type LogSubscription,
  type LogUnavailableError,
  type ProposalResult,
  type ReplicatedLog,
} from '../log-types.js';
import type { MemberChange } from '../members.js';
import {
  PeerMessageKind,
  type PeerMessage,
  type PeerReply,
  type SeedMessage,
} from '../ports/peer-link.js';
import type { StateMachine } from '../ports/state-machine.js';
import type { RevocableDisk } from '../storage/revocable-disk.js';
import { handleAppendEntries, handleHeartbeat } from './append-handler.js';
import { Applier } from './applier.js';
import { runElections } from './election.js';
import type { Bootstrap } from './bootstrap.js';
import type { Founding } from './founding.js';
import { changeMembers } from './membership.js';
import { proposeCommand } from './proposals.js';
import { confirmLeadership } from './read-index.js';
import {
  notBootstrappedReply,
  stoppedReply,
  wrongIdentityReply,
} from './replies.js';
import type { Replica } from './replica.js';
import { SnapshotReceiver } from './snapshot-receiver.js';
import { transferLeadership } from './transfer.js';
import { handlePreVote, handleTimeoutNow, handleVote } from './vote-handler.js';

/** State of the disk and of the state machine when a replica opens. */
export interface OpenedState {
  readonly access: RevocableDisk;
  /** Index up to which the state machine has applied the entries. */
  readonly appliedIndex: LogIndex;
}

/** How the replica becomes part of a log. At most one of the two has anything to do. */
export interface ReplicaStart {
  readonly bootstrap: Bootstrap;
  readonly founding: Founding;
}

/** Implements the public interface and dispatches peer messages to their handlers. */
export class ReplicatedLogService<Outcome> implements ReplicatedLog<Outcome> {
  readonly #replica: Replica;
  readonly #bootstrap: Bootstrap;
  readonly #founding: Founding;
  readonly #applier: Applier<Outcome>;
  readonly #snapshotReceiver: SnapshotReceiver;
  readonly #access: RevocableDisk;
  readonly #listeners = new Set<(event: LogEvent<Outcome>) => void>();
  #loops: Promise<void> = Promise.resolve();

  constructor(
    replica: Replica,
    stateMachine: StateMachine<Outcome>,
    { bootstrap, founding }: ReplicaStart,
    { access, appliedIndex }: OpenedState,
  ) {
    this.#replica = replica;
    this.#bootstrap = bootstrap;
    this.#founding = founding;
    this.#access = access;
    this.#applier = new Applier(
      replica,
      stateMachine,
      event => {
        this.#publish(event);
      },
      appliedIndex,
    );
    this.#snapshotReceiver = new SnapshotReceiver(replica, this.#applier);
    replica.hooks = {
      onCommitted: () => {
        this.#applier.applyCommitted();
      },
      onRoleChanged: () => {
        this.#publish({
          kind: LogEventKind.RoleChanged,
          status: this.#describe(),
        });
      },
      onLeadershipLost: () => {
        this.#applier.failPendingProposals();
      },
      onFoundingChanged: status => {
        this.#publish({ kind: LogEventKind.FoundingChanged, founding: status });
      },
    };
  }

  /** Index of the last entry applied to the state machine. */
  get appliedIndex(): LogIndex {
    return this.#applier.appliedIndex;
  }

  /** Starts the bootstrap and the election loop. */
  start(): void {
    this.#loops = this.#run();
  }

  propose(
    command: Uint8Array,
  ): ResultAsync<ProposalResult<Outcome>, LogUnavailableError | TimeoutError> {
    return proposeCommand(this.#replica, this.#applier, command);
  }

  status(): LogStatus {
    this.#replica.leadership?.checkQuorum();
    return this.#describe();
  }

  confirmLeadership(): ResultAsync<
    LeadershipProof,
    LogUnavailableError | TimeoutError
  > {
    return new ResultAsync(confirmLeadership(this.#replica));
  }

  subscribe(listener: (event: LogEvent<Outcome>) => void): LogSubscription {
    this.#listeners.add(listener);
    return { cancel: () => void this.#listeners.delete(listener) };
  }

  changeMembers(
    change: MemberChange,
  ): ResultAsync<
    LogIndex,
    LogUnavailableError | TimeoutError | ConflictError | InvalidInputError
  > {
    return new ResultAsync(changeMembers(this.#replica, change));
  }

  transferLeadership(): ResultAsync<ReplicaId, LogUnavailableError> {
    return transferLeadership(this.#replica);
  }

  async handlePeerMessage(
    from: ReplicaId,
    message: PeerMessage,
  ): Promise<PeerReply> {
    const replica = this.#replica;
    if (replica.isStopped) return stoppedReply(replica);
    if (isSeedMessage(message))
      return await this.#founding.answerAsSeed(message);
    if (message.to !== replica.replicaId) return wrongIdentityReply(replica);
    if (message.kind === PeerMessageKind.Identify) {
      return await this.#bootstrap.answerIdentify(from, message.folderId);
    }
    if (message.kind === PeerMessageKind.Founded)
      return await this.#founding.answerFounded(message);
    if (!this.#bootstrap.isDone) return notBootstrappedReply();
    switch (message.kind) {
      case PeerMessageKind.PreVote:
        return await handlePreVote(replica, message);
      case PeerMessageKind.Vote:
        return await handleVote(replica, from, message);
      case PeerMessageKind.Heartbeat:
        return await handleHeartbeat(replica, from, message);
      case PeerMessageKind.AppendEntries:
        return await handleAppendEntries(replica, from, message);
      case PeerMessageKind.InstallSnapshot:
        return await this.#snapshotReceiver.handle(from, message);
      case PeerMessageKind.TimeoutNow:
        return await handleTimeoutNow(replica, from, message);
    }
  }

  async stop(): Promise<void> {
    const replica = this.#replica;
    const { stopTimeout } = replica.tuning;
    replica.stop();
    const isClosed = await completesWithin(
      replica.dependencies.timers,
      stopTimeout,
      this.#close(),
    );
    if (isClosed) return;
    replica.failure ??= new StorageError(
      `The disk did not finish its writes within ${String(stopTimeout)} ms after the stop. Check the disk before the next start.`,
      { step: 'stop replica', peer: replica.replicaId },
    );
  }

  /** Waits until a replica that has failed makes no more use of its disk, however long the disk takes. */
  async release(): Promise<void> {
    await this.#access.revoke();
    await this.#loops;
  }

  async #close(): Promise<void> {
    await this.#loops;
    await this.#replica.store.whenIdle();
    await this.#access.revoke();
  }

  async #run(): Promise<void> {
    await this.#bootstrap.run();
    await this.#founding.run();
    await runElections(this.#replica);
  }

  #describe(): LogStatus {
    const { replicaId, role, term, leader, commitIndex, store, failure } =
      this.#replica;
    return {
      replicaId,
      role,
      term,
      leader,
      commitIndex,
      appliedIndex: this.#applier.appliedIndex,
      lastIndex: store.last.index,
      snapshotIndex: store.snapshot.last.index,
      members: store.members,
      leadershipProvedAt: this.#provedAt(),
      stateProvedAt: this.#stateProvedAt(),
      failure,
      founding: this.#founding.status,
    };
  }

  #provedAt(): Milliseconds | undefined {
    if (this.#replica.role === ReplicaRole.Leader) {
      return this.#replica.leadership?.quorumContactAt();
    }
    return this.#replica.leaderProvedAt;
  }

  #stateProvedAt(): Milliseconds | undefined {
    const { appliedIndex } = this.#applier;
    const { leadership, stateProof } = this.#replica;
    if (leadership === undefined) return stateProof.provedAt(appliedIndex);
    return appliedIndex >= leadership.provedIndex()
      ? leadership.quorumContactAt()
      : undefined;
  }

  #publish(event: LogEvent<Outcome>): void {
    for (const listener of this.#listeners) listener(event);
  }
}

function isSeedMessage(message: PeerMessage): message is SeedMessage {
  return (
    message.kind === PeerMessageKind.RegisterFounder ||
    message.kind === PeerMessageKind.PrepareFounding ||
    message.kind === PeerMessageKind.AcceptFounding
  );
}

/** Resolves with true when the work ends within the limit. The work is not cancelled otherwise. */
function completesWithin(
  timers: TimerService,
  limit: Milliseconds,
  work: Promise<void>,
): Promise<boolean> {
  return new Promise(resolve => {
    const expiry = timers.after(limit, () => {
      resolve(false);
    });
    void work.then(() => {
      expiry.cancel();
      resolve(true);
    });
  });
}
