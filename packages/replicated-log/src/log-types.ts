/** Interface of the replicated log for the programs that use it. */
import type {
  ConflictError,
  CorruptionError,
  CranberryError,
  InvalidInputError,
  StorageError,
  TimeoutError,
} from '@cranberryturn/errors';
import { UnavailableError, type ErrorOrigin } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  HostName,
  LogIndex,
  Milliseconds,
  ReplicaId,
  Term,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

import type { Member, MemberChange } from './members.js';
import type { LogDisk } from './ports/log-disk.js';
import type { PeerLink, PeerMessage, PeerReply } from './ports/peer-link.js';
import type { CommittedEntry, StateMachine } from './ports/state-machine.js';

/** Part that a replica plays at the moment. */
export enum ReplicaRole {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
  /** Stopped by `stop()` or by a failure. */
  Stopped = 'stopped',
}

/** No leader with a majority could take or finish the command. */
export class LogUnavailableError extends UnavailableError {
  /** False: the command was not and never will be committed. True: it may be, now or later. */
  readonly mayHaveHappened: boolean;
  /** Leader known to this replica, to ask instead. */
  readonly leader: ReplicaId | undefined;

  constructor(
    message: string,
    origin: ErrorOrigin,
    mayHaveHappened: boolean,
    leader?: ReplicaId,
  ) {
    super(message, origin);
    this.mayHaveHappened = mayHaveHappened;
    this.leader = leader;
  }
}

/** How a replica with a blank data folder starts; ignored when the folder holds an identity. */
export enum StartKind {
  /** Founds a new log together with the named members. */
  Bootstrap = 'found',
  /** Takes a new identity and waits until a leader adds it as a learner. */
  Join = 'join',
}

/** Founds a new log. Every founding member is given the same list, all voters. */
export interface BootstrapStart {
  readonly kind: StartKind.Bootstrap;
  readonly replicaId: ReplicaId;
  readonly members: readonly Member[];
}

/** Joins an existing log under an identity made of the host name and random digits. */
export interface JoinStart {
  readonly kind: StartKind.Join;
  readonly host: HostName;
}

/** Times and sizes of the log. */
export interface LogTuning {
  readonly heartbeatInterval: Milliseconds;
  /** Elections start at a random time between these two after the last sign of a leader. */
  readonly minimumElectionTimeout: Milliseconds;
  readonly maximumElectionTimeout: Milliseconds;
  /** Until a leader was heard since the start, elections start between these two. */
  readonly minimumFirstElectionTimeout: Milliseconds;
  readonly maximumFirstElectionTimeout: Milliseconds;
  /** Longest wait for one answer of a peer. */
  readonly peerTimeout: Milliseconds;
  /** Longest wait for a proposal to be committed and applied. */
  readonly proposeTimeout: Milliseconds;
  /** A leader whose disk takes longer than this for one sync hands over. */
  readonly diskHangLimit: Milliseconds;
  /** Longest wait for the disk when the replica stops. */
  readonly stopTimeout: Milliseconds;
  readonly maximumBatchBytes: number;
  readonly maximumSegmentBytes: number;
  readonly snapshotEntries: number;
  readonly snapshotBytes: number;
  /** Entries kept in memory behind a snapshot for followers that are a little late. */
  readonly trailingEntries: number;
  readonly snapshotChunkBytes: number;
}

/** What a replica needs. */
export interface ReplicatedLogOptions<Outcome> {
  readonly disk: LogDisk;
  readonly link: PeerLink;
  readonly stateMachine: StateMachine<Outcome>;
  readonly timers: TimerService;
  /** Seeded differently in each process: it makes identities and election timeouts. */
  readonly random: RandomSource;
  readonly start: BootstrapStart | JoinStart;
  readonly tuning?: Partial<LogTuning> | undefined;
}

/** State of a replica. */
export interface LogStatus {
  readonly replicaId: ReplicaId;
  readonly role: ReplicaRole;
  readonly term: Term;
  readonly leader?: ReplicaId | undefined;
  readonly commitIndex: LogIndex;
  readonly appliedIndex: LogIndex;
  readonly lastIndex: LogIndex;
  readonly snapshotIndex: LogIndex;
  readonly members: readonly Member[];
  /** Time, on the timer service of this replica, at which a majority was last known to follow the leader. */
  readonly leadershipProvedAt?: Milliseconds | undefined;
  /** Why the replica stopped. */
  readonly failure?: CranberryError | undefined;
}

/** A committed command and what it did. */
export interface ProposalResult<Outcome> {
  readonly index: LogIndex;
  readonly outcome: Outcome;
}

/** Proof that this replica led a majority. */
export interface LeadershipProof {
  /** Every command acknowledged before the proof was asked for is applied here up to this index. */
  readonly readIndex: LogIndex;
  /** Time on the timer service at which no later leader existed. */
  readonly provedAt: Milliseconds;
}

/** Kinds of events. */
export enum LogEventKind {
  Applied = 'applied',
  Restored = 'restored',
  RoleChanged = 'role-changed',
}

/** A command was applied to the state machine. */
export interface AppliedEvent<Outcome> {
  readonly kind: LogEventKind.Applied;
  readonly entry: CommittedEntry;
  readonly outcome: Outcome;
}

/** The state machine was restored from a snapshot that a leader sent. */
export interface RestoredEvent {
  readonly kind: LogEventKind.Restored;
  readonly lastIndex: LogIndex;
}

/** The role, the term or the known leader changed. */
export interface RoleChangedEvent {
  readonly kind: LogEventKind.RoleChanged;
  readonly status: LogStatus;
}

/** What a subscriber sees. */
export type LogEvent<Outcome> =
  AppliedEvent<Outcome> | RestoredEvent | RoleChangedEvent;

/** Ends a subscription. */
export interface LogSubscription {
  cancel(): void;
}

/** Why a log could not be opened. */
export type OpenLogError =
  StorageError | CorruptionError | ConflictError | InvalidInputError;

/** One replica of the log. */
export interface ReplicatedLog<Outcome> {
  /** Commits a command through this replica, which must lead. */
  propose(
    command: Uint8Array,
  ): ResultAsync<ProposalResult<Outcome>, LogUnavailableError | TimeoutError>;
  status(): LogStatus;
  /** Proves by a round trip to a majority that this replica leads right now. */
  confirmLeadership(): ResultAsync<
    LeadershipProof,
    LogUnavailableError | TimeoutError
  >;
  subscribe(listener: (event: LogEvent<Outcome>) => void): LogSubscription;
  /** Changes one member; resolves when the change is committed. */
  changeMembers(
    change: MemberChange,
  ): ResultAsync<
    LogIndex,
    LogUnavailableError | TimeoutError | ConflictError | InvalidInputError
  >;
  /** Hands the lead to a caught-up voter: a planned handover. */
  transferLeadership(): ResultAsync<ReplicaId, LogUnavailableError>;
  /** Handles a message of another replica. */
  handlePeerMessage(from: ReplicaId, message: PeerMessage): Promise<PeerReply>;
  /**
   * Stops the replica and releases its files. A disk that hangs is left behind after the stop
   * timeout, and `failure` of the status says so; the next run cuts what was not synced.
   */
  stop(): Promise<void>;
}
