/** Port: messages between replicas. */
import type { ConnectionError, TimeoutError } from '@cranberryturn/errors';
import type {
  LogIndex,
  Milliseconds,
  ReplicaId,
  Term,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

import type { LogEntry, LogPosition } from '../entries.js';
import type { Member } from '../members.js';

/** Kinds of messages between replicas. */
export enum PeerMessageKind {
  Identify = 'identify',
  PreVote = 'pre-vote',
  Vote = 'vote',
  Heartbeat = 'heartbeat',
  AppendEntries = 'append-entries',
  InstallSnapshot = 'install-snapshot',
  TimeoutNow = 'timeout-now',
  RegisterFounder = 'register-founder',
  PrepareFounding = 'prepare-founding',
  AcceptFounding = 'accept-founding',
  Founded = 'founded',
}

interface PeerMessageBase {
  /** Identity of the receiver. A replica with another identity at the same address refuses the message. */
  readonly to: ReplicaId;
  /** Term of the sender; for a pre-vote, the term of the election that would follow. */
  readonly term: Term;
}

/** Asks a founding member, before the first vote, which data folder it has recorded for the sender. */
export interface IdentifyMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.Identify;
  /** Random identifier of the sender's data folder. */
  readonly folderId: string;
}

/** Asks whether the receiver would vote for the sender, without advancing any term. */
export interface PreVoteMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.PreVote;
  readonly last: LogPosition;
}

/** Requests a vote. */
export interface VoteMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.Vote;
  readonly last: LogPosition;
}

/** A time on the clock of one run of a replica. */
export interface ReplicaStamp {
  /** Wall-clock time at which the run started, which tells it from other runs. */
  readonly startedAt: Milliseconds;
  /** Monotonic time of the run. */
  readonly at: Milliseconds;
}

/** The newest stamp that the leader has received from the receiver of a heartbeat. */
export interface StampEcho extends ReplicaStamp {
  /** Time from the receipt of the stamp until a quorum was last known to follow; negative if that was before. */
  readonly provedAfter: Milliseconds;
}

/** Heartbeat of the leader. Never waits for a disk. */
export interface HeartbeatMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.Heartbeat;
  /** Commit index of the leader, limited to what the receiver is known to have stored. */
  readonly commitIndex: LogIndex;
  /** Time since a quorum was last known to follow the leader. */
  readonly proofAge: Milliseconds;
  /**
   * Covers every entry that was committed when that quorum followed; may be ahead of what the
   * receiver has stored. Absent in heartbeats of earlier versions.
   */
  readonly provedIndex?: LogIndex | undefined;
  /** Null until the leader has received a stamp; absent in heartbeats of earlier versions. */
  readonly echo?: StampEcho | null | undefined;
}

/** Replicates the entries that follow `previous`. */
export interface AppendEntriesMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.AppendEntries;
  readonly previous: LogPosition;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: LogIndex;
}

/** One chunk of a snapshot. */
export interface InstallSnapshotMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.InstallSnapshot;
  readonly last: LogPosition;
  readonly members: readonly Member[];
  readonly leaderTime: Milliseconds;
  readonly offset: number;
  readonly totalBytes: number;
  readonly chunk: Uint8Array;
}

/** Tells an up-to-date voter to start an election immediately, for a leadership transfer. */
export interface TimeoutNowMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.TimeoutNow;
}

/** Orders the attempts to decide on the founding members: by round, then by proposer. */
export interface Ballot {
  readonly round: number;
  readonly proposer: ReplicaId;
}

/** The founding members that a seed has accepted, and in which ballot. */
export interface AcceptedFounders {
  readonly ballot: Ballot;
  readonly members: readonly Member[];
}

interface SeedMessageBase extends PeerMessageBase {
  /** Seeds of which a majority decides. Seeds that were started with others take no part. */
  readonly seeds: readonly ReplicaId[];
}

/** Tells a seed that the sender can found the log, and asks what the seed knows. */
export interface RegisterFounderMessage extends SeedMessageBase {
  readonly kind: PeerMessageKind.RegisterFounder;
  readonly candidate: Member;
}

/** Asks a seed to take part in no ballot before this one. */
export interface PrepareFoundingMessage extends SeedMessageBase {
  readonly kind: PeerMessageKind.PrepareFounding;
  readonly ballot: Ballot;
}

/** Asks a seed to accept founding members. */
export interface AcceptFoundingMessage extends SeedMessageBase {
  readonly kind: PeerMessageKind.AcceptFounding;
  readonly ballot: Ballot;
  readonly members: readonly Member[];
}

/** Tells a founding member what the seeds have decided. */
export interface FoundedMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.Founded;
  readonly members: readonly Member[];
}

/** A message to a seed, which is addressed by its network address: its identity is not known. */
export type SeedMessage =
  RegisterFounderMessage | PrepareFoundingMessage | AcceptFoundingMessage;

/** Message between replicas. */
export type PeerMessage =
  | IdentifyMessage
  | PreVoteMessage
  | VoteMessage
  | HeartbeatMessage
  | AppendEntriesMessage
  | InstallSnapshotMessage
  | TimeoutNowMessage
  | SeedMessage
  | FoundedMessage;

/** Kinds of replies. */
export enum PeerReplyKind {
  Identified = 'identified',
  VoteAnswer = 'vote-answer',
  HeartbeatAnswer = 'heartbeat-answer',
  AppendAnswer = 'append-answer',
  SnapshotAnswer = 'snapshot-answer',
  TimeoutNowAnswer = 'timeout-now-answer',
  SeedAnswer = 'seed-answer',
  FoundedAnswer = 'founded-answer',
  /** The receiver did not process the message: it is stopped, not ready, or has another identity. */
  Refused = 'refused',
}

/** Reply to an identify message. */
export interface IdentifiedReply {
  readonly kind: PeerReplyKind.Identified;
  /** Data folder of the replying replica. */
  readonly folderId: string;
  /** Data folder that the replying replica has on record for the sender; undefined only in replies of earlier versions and to other replicas. */
  readonly knownFolderId?: string | undefined;
}

/** Reply to a pre-vote or a vote request. */
export interface VoteAnswer {
  readonly kind: PeerReplyKind.VoteAnswer;
  readonly term: Term;
  readonly granted: boolean;
}

/** Reply to a heartbeat. */
export interface HeartbeatAnswer {
  readonly kind: PeerReplyKind.HeartbeatAnswer;
  readonly term: Term;
  /** Absent in answers of earlier versions. */
  readonly stamp?: ReplicaStamp | undefined;
}

/** Reply to an append message. */
export interface AppendAnswer {
  readonly kind: PeerReplyKind.AppendAnswer;
  readonly term: Term;
  readonly success: boolean;
  /** On success, the last synced index that matches; otherwise the highest index that may match. */
  readonly matchIndex: LogIndex;
}

/** Reply to one chunk of a snapshot. */
export interface SnapshotAnswer {
  readonly kind: PeerReplyKind.SnapshotAnswer;
  readonly term: Term;
  /** Offset in bytes of the next expected chunk. */
  readonly nextOffset: number;
  /** Whether the complete snapshot is synced and in use. */
  readonly installed: boolean;
}

/** Reply to a timeout-now message. */
export interface TimeoutNowAnswer {
  readonly kind: PeerReplyKind.TimeoutNowAnswer;
  readonly term: Term;
}

/**
 * Reply of a seed: its state after the message. A ballot was promised or accepted if it is the one in
 * the reply.
 */
export interface SeedAnswer {
  readonly kind: PeerReplyKind.SeedAnswer;
  /** Hosts that have registered lately, the newest identity of each. */
  readonly candidates: readonly Member[];
  readonly promised?: Ballot | undefined;
  readonly accepted?: AcceptedFounders | undefined;
}

/** Reply of a founding member that knows the decision. */
export interface FoundedAnswer {
  readonly kind: PeerReplyKind.FoundedAnswer;
}

/** Reply to a message that was not processed. */
export interface RefusedReply {
  readonly kind: PeerReplyKind.Refused;
  readonly reason: string;
  /** Whether the message was addressed to another identity than that of this replica. */
  readonly wrongIdentity: boolean;
  /** Whether the replica has stopped. Its process may go on, but takes no part in the log. */
  readonly isStopped?: boolean | undefined;
}

/** Reply to a message between replicas. */
export type PeerReply =
  | IdentifiedReply
  | VoteAnswer
  | HeartbeatAnswer
  | AppendAnswer
  | SnapshotAnswer
  | TimeoutNowAnswer
  | SeedAnswer
  | FoundedAnswer
  | RefusedReply;

/** Sends messages to other replicas. Any message may be lost, delayed or delivered twice. */
export interface PeerLink {
  call(
    peer: ReplicaId,
    message: PeerMessage,
  ): ResultAsync<PeerReply, ConnectionError | TimeoutError>;
}
