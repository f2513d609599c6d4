/** Public interface of the replicated log. */
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

/** Current role of a replica. */
export enum ReplicaRole {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
  /** Stopped by `stop()` or by an error. Final, unless the replica recovers from a fault of its disk. */
  Stopped = 'stopped',
}

/** No leader with a quorum could accept or commit the command. */
export class LogUnavailableError extends UnavailableError {
  /** False when the command never will be committed; true when it may have been or still may be. */
  readonly mayHaveHappened: boolean;
  /** Leader known to this replica, to which the caller can send the command instead. */
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

/** How a replica with an empty data folder starts. Ignored when the folder holds an identity. */
export enum StartKind {
  /** Bootstraps a new log together with the given members. */
  Bootstrap = 'found',
  /** Creates a new identity and waits until a leader adds the replica as a learner. */
  Join = 'join',
  /** As joining, but the log may not exist yet: the seeds decide which hosts with a disk found it. */
  Seeded = 'seeded',
}

/** Bootstraps a new log. Every founding member must be given the same list, all of them voters. */
export interface BootstrapStart {
  readonly kind: StartKind.Bootstrap;
  readonly replicaId: ReplicaId;
  readonly members: readonly Member[];
}

/** Joins an existing log. The identity consists of the host name and random digits. */
export interface JoinStart {
  readonly kind: StartKind.Join;
  readonly host: HostName;
}

/**
 * Joins the log or, as long as there is none, takes part in its founding. A host with a disk may become a founding member
 * in any of its processes, but a seed answers only in the process that was told of the first start of the whole system: the
 * next one may have forgotten what it has accepted.
 */
export interface SeededStart {
  readonly kind: StartKind.Seeded;
  readonly host: HostName;
  /** Network address of this host, which is also its name among the seeds. */
  readonly address: ReplicaId;
  readonly dataCentre?: string | undefined;
  /** Network addresses of the seeds; the same at all hosts. They need no disk. */
  readonly seeds: readonly ReplicaId[];
  /** Whether this host can keep a vote, so that it may be a founding member. */
  readonly hasDisk: boolean;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
}

/** How a replica with an empty data folder starts. */
export type LogStart = BootstrapStart | JoinStart | SeededStart;

/**
 * Chooses the founding members among the hosts that have registered with the seeds. Returns an empty list to
 * wait for further ones. `waited` is the time since the last of them registered for the first time.
 */
export type ChooseFounders = (
  candidates: readonly Member[],
  waited: Milliseconds,
) => readonly Member[];

/** Intervals, timeouts and size limits. Times are in milliseconds. */
export interface LogTuning {
  readonly heartbeatInterval: Milliseconds;
  /** Longer than that of voters: an observer neither votes nor proves the lead. */
  readonly observerHeartbeatInterval: Milliseconds;
  /** Without a message of a leader, an election starts after a random time between these two. */
  readonly minimumElectionTimeout: Milliseconds;
  readonly maximumElectionTimeout: Milliseconds;
  /** The shortest timeout of a replica that has not heard any leader since it started. */
  readonly firstElectionTimeout: Milliseconds;
  /**
   * By how much this timeout is longer for each voter than for the one before it in the list of members. A vote takes
   * less, so that voters that start together do not split their votes.
   */
  readonly firstElectionInterval: Milliseconds;
  /** Timeout of one call to a peer. */
  readonly peerTimeout: Milliseconds;
  /** Timeout for a proposal to be committed and applied. */
  readonly proposeTimeout: Milliseconds;
  /** Time for which a promotion waits for the learner to catch up; other changes wait behind it. */
  readonly promoteTimeout: Milliseconds;
  /** A leader transfers leadership when one sync of its disk takes longer than this. */
  readonly diskHangLimit: Milliseconds;
  /** How long a stopping replica waits for its disk. */
  readonly stopTimeout: Milliseconds;
  /** Approximate limit of one append message. */
  readonly maximumBatchBytes: number;
  readonly maximumSegmentBytes: number;
  /** A snapshot is taken after this many entries or bytes, whichever comes first. */
  readonly snapshotEntries: number;
  readonly snapshotBytes: number;
  /** Entries kept in memory after a snapshot, so that slightly lagging followers need no snapshot. */
  readonly trailingEntries: number;
  readonly snapshotChunkBytes: number;
}

/** Dependencies and settings of a replica. */
export interface ReplicatedLogOptions<Outcome> {
  readonly disk: LogDisk;
  readonly link: PeerLink;
  readonly stateMachine: StateMachine<Outcome>;
  readonly timers: TimerService;
  /** Must be seeded differently in each process: identities and election timeouts are drawn from it. */
  readonly random: RandomSource;
  readonly start: LogStart;
  /** Needed by a host with a disk that starts with seeds; a host without it proposes no founding members. */
  readonly chooseFounders?: ChooseFounders | undefined;
  readonly tuning?: Partial<LogTuning> | undefined;
}

/** Snapshot of the state of a replica. */
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
  /** Latest time at which a quorum was known to follow the leader, on the timer service of this replica. */
  readonly leadershipProvedAt?: Milliseconds | undefined;
  /**
   * Latest time for which the state machine of this replica is known to have applied every entry
   * committed by then. Older than `leadershipProvedAt` while entries are on their way.
   */
  readonly stateProvedAt?: Milliseconds | undefined;
  /** Error that stopped the replica. */
  readonly failure?: CranberryError | undefined;
  /** Number of attempts to open the log again after a fault of the disk; undefined unless the replica recovers from one. */
  readonly recoveryAttempts?: number | undefined;
  /** State of the founding; undefined at a replica that takes no part in it. */
  readonly founding?: FoundingStatus | undefined;
}

/** Steps of a host with a disk while the log is founded. */
export enum FoundingStep {
  /** Less than a majority of the seeds answers. */
  AwaitsSeeds = 'awaits-seeds',
  /** Too few hosts with a disk have registered. */
  AwaitsHosts = 'awaits-hosts',
  /** Asks the seeds to decide on founding members. */
  Proposes = 'proposes',
  /** Knows the founding members. */
  Decided = 'decided',
}

/** How far the founding is, for log lines. */
export interface FoundingStatus {
  readonly step: FoundingStep;
  readonly seeds: number;
  /** Seeds that answered last. */
  readonly answering: number;
  /** Hosts with a disk that have registered or, once decided, the founding members. */
  readonly hosts: readonly ReplicaId[];
}

/** Whether an error that does not pass has stopped the replica: damaged data, or an identity that was replaced. */
export function hasFailedForGood({
  failure,
  recoveryAttempts,
}: LogStatus): boolean {
  return failure !== undefined && recoveryAttempts === undefined;
}

/** Index of a committed command and the outcome of applying it. */
export interface ProposalResult<Outcome> {
  readonly index: LogIndex;
  readonly outcome: Outcome;
}

/** Proof that a quorum followed this replica. */
export interface LeadershipProof {
  /** Covers every command that was acknowledged before the proof was requested. */
  readonly readIndex: LogIndex;
  /** Time on the timer service at which no leader of a later term existed. */
  readonly provedAt: Milliseconds;
}

/** Kinds of log events. */
export enum LogEventKind {
  Applied = 'applied',
  Restored = 'restored',
  RoleChanged = 'role-changed',
  FoundingChanged = 'founding-changed',
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

/** The founding of the log went on, or came to a halt. */
export interface FoundingChangedEvent {
  readonly kind: LogEventKind.FoundingChanged;
  readonly founding: FoundingStatus;
}

/** Event delivered to subscribers. */
export type LogEvent<Outcome> =
  | AppliedEvent<Outcome>
  | RestoredEvent
  | RoleChangedEvent
  | FoundingChangedEvent;

/** Handle of a subscription. */
export interface LogSubscription {
  cancel(): void;
}

/** Why a log could not be opened. */
export type OpenLogError =
  StorageError | CorruptionError | ConflictError | InvalidInputError;

/** One replica of the log. */
export interface ReplicatedLog<Outcome> {
  /** Commits and applies a command. This replica must be the leader. */
  propose(
    command: Uint8Array,
  ): ResultAsync<ProposalResult<Outcome>, LogUnavailableError | TimeoutError>;
  status(): LogStatus;
  /** Confirms by a round trip to a quorum that this replica is the leader, for linearizable reads. */
  confirmLeadership(): ResultAsync<
    LeadershipProof,
    LogUnavailableError | TimeoutError
  >;
  subscribe(listener: (event: LogEvent<Outcome>) => void): LogSubscription;
  /** Changes one member. Resolves with the index of the change once it is committed. */
  changeMembers(
    change: MemberChange,
  ): ResultAsync<
    LogIndex,
    LogUnavailableError | TimeoutError | ConflictError | InvalidInputError
  >;
  /** Transfers leadership to an up-to-date voter. Resolves with the identity of that voter. */
  transferLeadership(): ResultAsync<ReplicaId, LogUnavailableError>;
  /** Handles a message from another replica. Called by the transport. */
  handlePeerMessage(from: ReplicaId, message: PeerMessage): Promise<PeerReply>;
  /**
   * Stops the replica and closes its files. If the disk hangs, the call resolves after the stop
   * timeout and sets `failure` in the status; the next start truncates what was not synced.
   */
  stop(): Promise<void>;
}
