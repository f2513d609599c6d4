/** Port: messages between the replicas of the log. */
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
  /** Identity that the message is meant for; any other identity at the same address refuses it. */
  readonly to: ReplicaId;
  /** Term of the sender; for a pre-vote, the term in which it would stand. */
  readonly term: Term;
}

/** Asks a founding member, before the first vote, which data folder it knows the sender by. */
export interface IdentifyMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.Identify;
  /** Random name of the data folder of the sender. */
  readonly folderId: string;
}

/** Asks whether the receiver would vote for the sender, without raising a term. */
export interface PreVoteMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.PreVote;
  readonly last: LogPosition;
}

/** Asks for a vote. */
export interface VoteMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.Vote;
  readonly last: LogPosition;
}

/** Shows that the leader is alive; never waits for a disk. */
export interface HeartbeatMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.Heartbeat;
  /** Committed position that the receiver is known to hold. */
  readonly commitIndex: LogIndex;
  /** Time since a majority was last proved to follow the leader. */
  readonly proofAge: Milliseconds;
}

/** Entries that follow `previous`. */
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

/** Tells a caught-up voter to stand at once: a planned handover. */
export interface TimeoutNowMessage extends PeerMessageBase {
  readonly kind: PeerMessageKind.TimeoutNow;
}

/** A message between replicas. */
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
  /** The receiver took the message; the fields tell what came of it. */
  Identified = 'identified',
  VoteAnswer = 'vote-answer',
  HeartbeatAnswer = 'heartbeat-answer',
  AppendAnswer = 'append-answer',
  SnapshotAnswer = 'snapshot-answer',
  TimeoutNowAnswer = 'timeout-now-answer',
  /** The receiver is stopped, or is not the identity that was meant. Nothing was done. */
  Refused = 'refused',
}

/** Answer to identify. */
export interface IdentifiedReply {
  readonly kind: PeerReplyKind.Identified;
  /** Data folder of the answering replica. */
  readonly folderId: string;
  /** Data folder by which the answering replica knows the sender; undefined until it has founded. */
  readonly knownFolderId?: string | undefined;
}

/** Answer to a pre-vote or a vote. */
export interface VoteAnswer {
  readonly kind: PeerReplyKind.VoteAnswer;
  readonly term: Term;
  readonly granted: boolean;
}

/** Answer to a heartbeat. */
export interface HeartbeatAnswer {
  readonly kind: PeerReplyKind.HeartbeatAnswer;
  readonly term: Term;
}

/** Answer to append entries. */
export interface AppendAnswer {
  readonly kind: PeerReplyKind.AppendAnswer;
  readonly term: Term;
  readonly success: boolean;
  /** On success: last synced index known to match. Otherwise: highest index that may match. */
  readonly matchIndex: LogIndex;
}

/** Answer to one chunk of a snapshot. */
export interface SnapshotAnswer {
  readonly kind: PeerReplyKind.SnapshotAnswer;
  readonly term: Term;
  /** Offset of the chunk wanted next. */
  readonly nextOffset: number;
  /** The whole snapshot is synced and in force. */
  readonly installed: boolean;
}

/** Answer to timeout now. */
export interface TimeoutNowAnswer {
  readonly kind: PeerReplyKind.TimeoutNowAnswer;
  readonly term: Term;
}

/** The message was not handled. */
export interface RefusedReply {
  readonly kind: PeerReplyKind.Refused;
  readonly reason: string;
  /** The message was meant for an identity that no longer lives at this address. */
  readonly wrongIdentity: boolean;
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

/** Carries messages to other replicas. Any call may be lost, late or delivered twice. */
export interface PeerLink {
  call(
    peer: ReplicaId,
    message: PeerMessage,
  ): ResultAsync<PeerReply, ConnectionError | TimeoutError>;
}
