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

/** Message between replicas. */
export type PeerMessage =
  | IdentifyMessage
  | PreVoteMessage
  | VoteMessage
  | HeartbeatMessage
  | AppendEntriesMessage
  | InstallSnapshotMessage
  | TimeoutNowMessage;

/** Kinds of replies. */
export enum PeerReplyKind {
  Identified = 'identified',
  VoteAnswer = 'vote-answer',
  HeartbeatAnswer = 'heartbeat-answer',
  AppendAnswer = 'append-answer',
  SnapshotAnswer = 'snapshot-answer',
  TimeoutNowAnswer = 'timeout-now-answer',
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
  | RefusedReply;

/** Sends messages to other replicas. Any message may be lost, delayed or delivered twice. */
export interface PeerLink {
  call(
    peer: ReplicaId,
    message: PeerMessage,
  ): ResultAsync<PeerReply, ConnectionError | TimeoutError>;
}
