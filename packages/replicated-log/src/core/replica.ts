/** Shared state of one replica: role, term, vote, positions, and the transitions between roles. */
import type { CranberryError } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  LogIndex,
  Milliseconds,
  ReplicaId,
  Term,
} from '@cranberryturn/types';

import { ReplicaRole, type LogTuning } from '../log-types.js';
import { MemberRole, type Member } from '../members.js';
import type { LogDisk } from '../ports/log-disk.js';
import type { PeerLink } from '../ports/peer-link.js';
import type { HardState, HardStateWriter } from '../storage/hard-state.js';
import type { LogStore } from '../storage/log-store.js';
import type { Leadership } from './leadership.js';
import { Signal } from './signal.js';

/** What a replica works with. */
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

/** Hooks of the parts that build on a replica. */
export interface ReplicaHooks {
  /** The commit index rose. */
  onCommitted(): void;
  /** Role, term or known leader changed. */
  onRoleChanged(): void;
  /** This replica stopped leading: nothing pending can be answered with certainty. */
  onLeadershipLost(): void;
}

/** One replica. Its methods change state synchronously; syncing is awaited by those who reply. */
export class Replica {
  readonly dependencies: ReplicaDependencies;
  /** Set by the owner before the replica starts. */
  hooks: ReplicaHooks = {
    onCommitted: () => undefined,
    onRoleChanged: () => undefined,
    onLeadershipLost: () => undefined,
  };
  /** Notified when the role, the deadline of the election or the failure changed. */
  readonly changed: Signal;
  role = ReplicaRole.Follower;
  term: Term;
  votedFor: ReplicaId | undefined;
  leader: ReplicaId | undefined;
  leadership: Leadership | undefined;
  commitIndex: LogIndex;
  failure: CranberryError | undefined;
  /** When this replica stands for election unless it hears from a leader. */
  electionDeadline: Milliseconds = 0;
  /** When a leader of the current term was last heard. */
  lastLeaderContact: Milliseconds = Number.NEGATIVE_INFINITY;
  /** When the leader last had proof of its majority, as its heartbeats tell. */
  leaderProvedAt: Milliseconds | undefined;

  constructor(dependencies: ReplicaDependencies) {
    this.dependencies = dependencies;
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

  /** Members that count towards the majority. */
  voters(): readonly Member[] {
    return this.store.members.filter(
      member => member.role === MemberRole.Voter,
    );
  }

  /** Number of voters that make a majority. */
  quorumSize(): number {
    return Math.floor(this.voters().length / 2) + 1;
  }

  /** True when this replica is a voter according to its newest entry. */
  isVoter(): boolean {
    return this.voters().some(member => member.replicaId === this.replicaId);
  }

  /** Draws a new random time for the next election. */
  postponeElection(): void {
    const { minimumElectionTimeout, maximumElectionTimeout } = this.tuning;
    this.#scheduleElection(minimumElectionTimeout, maximumElectionTimeout);
  }

  /**
   * Stands soon: no leader was heard since the start, so there is probably none. Where there is
   * one, the pre-votes are refused and nothing is disturbed.
   */
  scheduleFirstElection(): void {
    const { minimumFirstElectionTimeout, maximumFirstElectionTimeout } =
      this.tuning;
    this.#scheduleElection(
      minimumFirstElectionTimeout,
      maximumFirstElectionTimeout,
    );
  }

  /** Whether no leader was heard since the start of the process. */
  get hasNeverHeardLeader(): boolean {
    return this.lastLeaderContact === Number.NEGATIVE_INFINITY;
  }

  #scheduleElection(minimum: Milliseconds, maximum: Milliseconds): void {
    const spread = this.dependencies.random.fraction() * (maximum - minimum);
    this.electionDeadline = this.now() + minimum + spread;
  }

  /** Moves to a term, with a vote in it or none; syncing starts, and `hardStateSynced` awaits it. */
  enterTerm(term: Term, votedFor?: ReplicaId): void {
    this.term = term;
    this.votedFor = votedFor;
    void this.dependencies.hardStateWriter
      .save({ term, votedFor })
      .then(result => {
        if (result.isErr()) this.fail(result.error);
      });
  }

  /** Resolves when the term and the vote are synced; false when the replica has stopped. */
  async awaitHardState(): Promise<boolean> {
    const result = await this.dependencies.hardStateWriter.whenSynced();
    return result.isOk() && !this.isStopped;
  }

  /** Follows a term that another replica has reached. */
  observeTerm(term: Term): void {
    if (this.isStopped || term <= this.term) return;
    this.enterTerm(term);
    this.#becomeFollower(undefined);
  }

  /** Notes a sign of life of the leader of the current term. */
  followLeader(leader: ReplicaId): void {
    this.lastLeaderContact = this.now();
    this.postponeElection();
    if (this.role === ReplicaRole.Follower && this.leader === leader) return;
    this.#becomeFollower(leader);
  }

  /** Stops leading or standing, without knowing another leader. */
  stepDown(): void {
    if (this.isStopped) return;
    this.#becomeFollower(undefined);
  }

  /** Stands for election in the current term. */
  becomeCandidate(): void {
    this.role = ReplicaRole.Candidate;
    this.leader = undefined;
    this.hooks.onRoleChanged();
  }

  /** Leads the current term. */
  becomeLeader(leadership: Leadership): void {
    this.role = ReplicaRole.Leader;
    this.leader = this.replicaId;
    this.leadership = leadership;
    this.hooks.onRoleChanged();
    this.changed.notify();
  }

  /** Raises the commit index, as far as the log reaches. */
  commitUpTo(index: LogIndex): void {
    const reached = Math.min(index, this.store.last.index);
    if (reached <= this.commitIndex) return;
    this.commitIndex = reached;
    this.hooks.onCommitted();
  }

  /** Stops the replica for good because of an error. */
  fail(error: CranberryError): void {
    if (this.isStopped) return;
    this.failure = error;
    this.stop();
  }

  /** Stops the replica. */
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
