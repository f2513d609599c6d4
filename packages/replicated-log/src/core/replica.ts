/** Core state of one replica: role, term, vote, commit index, and the transitions between roles. */
import type { CranberryError } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  LogIndex,
  Milliseconds,
  ReplicaId,
  Term,
} from '@cranberryturn/types';

import {
  type FoundingStatus,
  type LogTuning,
  ReplicaRole,
} from '../log-types.js';
import { MemberRole, type Member } from '../members.js';
import type { LogDisk } from '../ports/log-disk.js';
import type { PeerLink } from '../ports/peer-link.js';
import type { HardState, HardStateWriter } from '../storage/hard-state.js';
import type { LogStore } from '../storage/log-store.js';
import type { Leadership } from './leadership.js';
import { Signal } from './signal.js';
import { StateProof } from './state-proof.js';

/** Dependencies and restored state of a replica. */
export interface ReplicaDependencies {
  readonly replicaId: ReplicaId;
  readonly disk: LogDisk;
  readonly link: PeerLink;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly tuning: LogTuning;
  readonly store: LogStore;
  readonly hardStateWriter: HardStateWriter;
  readonly hardState: HardState;
}

/** Callbacks to the service that owns the replica. */
export interface ReplicaHooks {
  /** The commit index increased. */
  onCommitted(): void;
  /** The role, the term or the known leader changed. */
  onRoleChanged(): void;
  /** This replica is no longer the leader: the outcome of pending proposals is unknown. */
  onLeadershipLost(): void;
  /** The founding of the log went on, or came to a halt. */
  onFoundingChanged(status: FoundingStatus): void;
}

/** Part of the interval between first elections that is random. */
const firstElectionSpread = 0.3;

/** One replica. Methods change the state synchronously; message handlers await the sync before they reply. */
export class Replica {
  readonly dependencies: ReplicaDependencies;
  /** Set by the service before the replica starts. */
  hooks: ReplicaHooks = {
    onCommitted: () => undefined,
    onRoleChanged: () => undefined,
    onLeadershipLost: () => undefined,
    onFoundingChanged: () => undefined,
  };
  /** Notified when the role, the election deadline or the failure changes. */
  readonly changed: Signal;
  role = ReplicaRole.Follower;
  term: Term;
  votedFor: ReplicaId | undefined;
  leader: ReplicaId | undefined;
  leadership: Leadership | undefined;
  commitIndex: LogIndex;
  failure: CranberryError | undefined;
  /** When this replica starts an election unless a leader contacts it first. */
  electionDeadline: Milliseconds = 0;
  /** When the leader of the current term was last heard. */
  lastLeaderContact: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When a quorum last followed the leader, according to the heartbeats of the leader. */
  leaderProvedAt: Milliseconds | undefined;
  /** Wall-clock time at which this run started. */
  readonly startedAt: Milliseconds;
  /** Until when the state of this replica is complete, according to the same heartbeats. */
  readonly stateProof = new StateProof();

  constructor(dependencies: ReplicaDependencies) {
    this.dependencies = dependencies;
    this.startedAt = dependencies.timers.wallClock();
    this.changed = new Signal(dependencies.timers);
    this.term = dependencies.hardState.term;
    this.votedFor = dependencies.hardState.votedFor;
    this.commitIndex = dependencies.store.snapshot.last.index;
    this.postponeElection();
  }

  get replicaId(): ReplicaId {
    return this.dependencies.replicaId;
  }

  get store(): LogStore {
    return this.dependencies.store;
  }

  get tuning(): LogTuning {
    return this.dependencies.tuning;
  }

  get isStopped(): boolean {
    return this.role === ReplicaRole.Stopped;
  }

  now(): Milliseconds {
    return this.dependencies.timers.now();
  }

  /** Members that count towards the quorum. */
  voters(): readonly Member[] {
    return this.store.members.filter(
      member => member.role === MemberRole.Voter,
    );
  }

  /** Number of voters that form a quorum. */
  quorumSize(): number {
    return Math.floor(this.voters().length / 2) + 1;
  }

  /** Whether this replica is a voter according to the newest list of members, committed or not. */
  isVoter(): boolean {
    return this.voters().some(member => member.replicaId === this.replicaId);
  }

  /** Sets the next election deadline at random within the election timeouts. */
  postponeElection(): void {
    const { minimumElectionTimeout, maximumElectionTimeout } = this.tuning;
    this.#scheduleElection(minimumElectionTimeout, maximumElectionTimeout);
  }

  /**
   * Sets an early election deadline: no leader was heard since the start, so there is probably
   * none. If there is one, the pre-votes are refused and the leader is not disturbed. The voters
   * take turns, from one `delay` after now on.
   */
  scheduleFirstElection(delay: Milliseconds = 0): void {
    const { firstElectionTimeout, firstElectionInterval } = this.tuning;
    const position = this.voters().findIndex(
      ({ replicaId }) => replicaId === this.replicaId,
    );
    const earliest =
      delay +
      firstElectionTimeout +
      Math.max(0, position) * firstElectionInterval;
    const latest = earliest + firstElectionInterval * firstElectionSpread;
    this.#scheduleElection(earliest, latest);
  }

  /** Whether no leader was heard since the process started. */
  get hasNeverHeardLeader(): boolean {
    return this.lastLeaderContact === Number.NEGATIVE_INFINITY;
  }

  #scheduleElection(minimum: Milliseconds, maximum: Milliseconds): void {
    const spread = this.dependencies.random.fraction() * (maximum - minimum);
    this.electionDeadline = this.now() + minimum + spread;
  }

  /** Enters a term, with or without a vote. Starts the sync of both, which `awaitHardState` waits for. */
  enterTerm(term: Term, votedFor?: ReplicaId): void {
    this.term = term;
    this.votedFor = votedFor;
    void this.dependencies.hardStateWriter
      .save({ term, votedFor })
      .then(result => {
        if (result.isErr()) this.fail(result.error);
      });
  }

  /** Resolves once the term and the vote are synced; with false when the replica has stopped. */
  async awaitHardState(): Promise<boolean> {
    const result = await this.dependencies.hardStateWriter.whenSynced();
    return result.isOk() && !this.isStopped;
  }

  /** Becomes a follower when another replica has reached a higher term. */
  observeTerm(term: Term): void {
    if (this.isStopped || term <= this.term) return;
    this.enterTerm(term);
    this.#becomeFollower(undefined);
  }

  /** Records a message from the leader of the current term and follows that leader. */
  followLeader(leader: ReplicaId): void {
    this.lastLeaderContact = this.now();
    this.postponeElection();
    if (this.role === ReplicaRole.Follower && this.leader === leader) return;
    this.#becomeFollower(leader);
  }

  /** Becomes a follower without a known leader. */
  stepDown(): void {
    if (this.isStopped) return;
    this.#becomeFollower(undefined);
  }

  /** Becomes a candidate in the current term. */
  becomeCandidate(): void {
    this.role = ReplicaRole.Candidate;
    this.leader = undefined;
    this.hooks.onRoleChanged();
  }

  /** Becomes leader of the current term. */
  becomeLeader(leadership: Leadership): void {
    this.role = ReplicaRole.Leader;
    this.leader = this.replicaId;
    this.leadership = leadership;
    this.hooks.onRoleChanged();
    this.changed.notify();
  }

  /** Advances the commit index, at most to the last stored entry. */
  commitUpTo(index: LogIndex): void {
    const reached = Math.min(index, this.store.last.index);
    if (reached <= this.commitIndex) return;
    this.commitIndex = reached;
    this.hooks.onCommitted();
  }

  /** Stops the replica permanently because of an error. */
  fail(error: CranberryError): void {
    if (this.isStopped) return;
    this.failure = error;
    this.stop();
  }

  /** Stops the replica permanently. */
  stop(): void {
    if (this.isStopped) return;
    this.#endLeadership();
    this.role = ReplicaRole.Stopped;
    this.leader = undefined;
    this.hooks.onLeadershipLost();
    this.hooks.onRoleChanged();
    this.changed.notify();
  }

  #becomeFollower(leader: ReplicaId | undefined): void {
    const wasLeading = this.role === ReplicaRole.Leader;
    this.#endLeadership();
    this.role = ReplicaRole.Follower;
    this.leader = leader;
    this.leaderProvedAt = undefined;
    this.stateProof.reset();
    if (wasLeading) {
      this.postponeElection();
      this.hooks.onLeadershipLost();
    }
    this.hooks.onRoleChanged();
    this.changed.notify();
  }

  #endLeadership(): void {
    this.leadership?.end();
    this.leadership = undefined;
  }
}
