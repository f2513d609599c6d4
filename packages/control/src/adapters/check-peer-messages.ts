/** Checks of the messages between control replicas. */
import {
  EntryKind,
  MemberRole,
  PeerMessageKind,
  PeerReplyKind,
} from '@cranberryturn/replicated-log';
import {
  isCount,
  isFiniteNumber,
  isFlag,
  isIgnored,
  isListOf,
  isOneOf,
  isOptional,
  isRecord,
  isText,
  isVariant,
  type ShapeCheck,
} from '@cranberryturn/wire';

import { AdministrationMethod } from '../administration-calls.js';

const isBytes: ShapeCheck = value => value instanceof Uint8Array;
const isPosition = isRecord({ index: isCount, term: isCount });
const isMember = isRecord({
  replicaId: isText,
  role: isOneOf(MemberRole),
  address: isText,
  dataCentre: isOptional(isText),
  isStandby: isOptional(isFlag),
});
const isMembers = isListOf(isMember);
const isBallot = isRecord({ round: isCount, proposer: isText });

const isEntryBase = isRecord({
  index: isCount,
  term: isCount,
  leaderTime: isFiniteNumber,
});
const isEntryBody = isVariant('kind', {
  [EntryKind.Command]: isRecord({ command: isBytes }),
  [EntryKind.Members]: isRecord({ members: isMembers }),
});
const isEntry: ShapeCheck = value => isEntryBase(value) && isEntryBody(value);

const stampChecks = { startedAt: isFiniteNumber, at: isFiniteNumber };
const isStamp = isRecord(stampChecks);
const isEcho = isRecord({ ...stampChecks, provedAfter: isFiniteNumber });

const isMessageBase = isRecord({ to: isText, term: isCount });
const isMessageBody = isVariant('kind', {
  [PeerMessageKind.Identify]: isRecord({ folderId: isText }),
  [PeerMessageKind.PreVote]: isRecord({ last: isPosition }),
  [PeerMessageKind.Vote]: isRecord({ last: isPosition }),
  [PeerMessageKind.Heartbeat]: isRecord({
    commitIndex: isCount,
    // Slightly below 0 where a leader is the only voter: it is its own latest contact.
    proofAge: isFiniteNumber,
    provedIndex: isOptional(isCount),
    echo: isOptional(isEcho),
  }),
  [PeerMessageKind.AppendEntries]: isRecord({
    previous: isPosition,
    entries: isListOf(isEntry),
    commitIndex: isCount,
  }),
  [PeerMessageKind.InstallSnapshot]: isRecord({
    last: isPosition,
    members: isMembers,
    leaderTime: isFiniteNumber,
    offset: isCount,
    totalBytes: isCount,
    chunk: isBytes,
  }),
  [PeerMessageKind.TimeoutNow]: isRecord({}),
  [PeerMessageKind.RegisterFounder]: isRecord({ candidate: isMember }),
  [PeerMessageKind.PrepareFounding]: isRecord({ ballot: isBallot }),
  [PeerMessageKind.AcceptFounding]: isRecord({
    ballot: isBallot,
    members: isMembers,
  }),
  [PeerMessageKind.Founded]: isRecord({ members: isMembers }),
});

/** Whether a decoded value is a `PeerMessage`. */
export const isPeerMessage: ShapeCheck = value =>
  isMessageBase(value) && isMessageBody(value);

/** Whether a decoded value is a `PeerReply`. */
export const isPeerReply = isVariant('kind', {
  [PeerReplyKind.Identified]: isRecord({
    folderId: isText,
    knownFolderId: isOptional(isText),
  }),
  [PeerReplyKind.VoteAnswer]: isRecord({ term: isCount, granted: isFlag }),
  [PeerReplyKind.HeartbeatAnswer]: isRecord({
    term: isCount,
    stamp: isOptional(isStamp),
  }),
  [PeerReplyKind.AppendAnswer]: isRecord({
    term: isCount,
    success: isFlag,
    matchIndex: isCount,
  }),
  [PeerReplyKind.SnapshotAnswer]: isRecord({
    term: isCount,
    nextOffset: isCount,
    installed: isFlag,
  }),
  [PeerReplyKind.TimeoutNowAnswer]: isRecord({ term: isCount }),
  [PeerReplyKind.SeedAnswer]: isRecord({
    candidates: isMembers,
    promised: isOptional(isBallot),
    accepted: isOptional(isRecord({ ballot: isBallot, members: isMembers })),
  }),
  [PeerReplyKind.FoundedAnswer]: isRecord({}),
  [PeerReplyKind.Refused]: isRecord({
    reason: isText,
    wrongIdentity: isFlag,
    isStopped: isOptional(isFlag),
  }),
});

/**
 * Whether a decoded value is an `AdministrationCall`, perhaps of a later version. The input of a plan is
 * checked where it is planned.
 */
export const isAdministrationCall = isVariant(
  'method',
  {
    [AdministrationMethod.Confirm]: isRecord({
      request: isRecord({
        planId: isText,
        requestId: isText,
        operator: isText,
      }),
    }),
    [AdministrationMethod.History]: isRecord({ limit: isCount }),
    [AdministrationMethod.Publish]: isRecord({
      publication: isRecord({ version: isCount, document: isText }),
    }),
    [AdministrationMethod.OrderEvacuation]: isRecord({
      order: isRecord({
        dataCentre: isText,
        isEvacuated: isFlag,
        knownIndex: isCount,
      }),
      requestId: isText,
    }),
  },
  isIgnored,
);

/** Whether a decoded value is a `JoiningReplica`. */
export const isJoiningReplica = isRecord({
  replicaId: isText,
  address: isText,
  isObserver: isOptional(isFlag),
  dataCentre: isOptional(isText),
});
