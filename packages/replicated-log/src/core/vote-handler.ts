/** Handles pre-vote, vote and timeout-now messages. */
import type { ReplicaId } from '@cranberryturn/types';

import type { LogPosition } from '../entries.js';
import { ReplicaRole } from '../log-types.js';
import {
  PeerReplyKind,
  type PeerReply,
  type PreVoteMessage,
  type TimeoutNowMessage,
  type VoteMessage,
} from '../ports/peer-link.js';
import { startElection } from './election.js';
import { stoppedReply } from './replies.js';
import type { Replica } from './replica.js';

/** Replies whether this replica would vote for the sender. Changes no state. */
export async function handlePreVote(
  replica: Replica,
  message: PreVoteMessage,
): Promise<PeerReply> {
  const granted =
    message.term > replica.term &&
    canVote(replica) &&
    !hasRecentLeaderContact(replica) &&
    isUpToDate(replica, message.last);
  const { term } = replica;
  if (!(await replica.awaitHardState())) return stoppedReply(replica);
  return { kind: PeerReplyKind.VoteAnswer, term, granted };
}

/** Votes at most once per term. The vote is synced before the reply. */
export async function handleVote(
  replica: Replica,
  from: ReplicaId,
  message: VoteMessage,
): Promise<PeerReply> {
  replica.observeTerm(message.term);
  const hasVoteAvailable =
    replica.votedFor === undefined || replica.votedFor === from;
  const granted =
    message.term === replica.term &&
    replica.role === ReplicaRole.Follower &&
    hasVoteAvailable &&
    canVote(replica) &&
    isUpToDate(replica, message.last);
  if (granted && replica.votedFor === undefined) {
    replica.enterTerm(replica.term, from);
  }
  if (granted) replica.postponeElection();
  const { term } = replica;
  if (!(await replica.awaitHardState())) return stoppedReply(replica);
  return { kind: PeerReplyKind.VoteAnswer, term, granted };
}

/** Starts an election immediately when the leader of the current term requests it. */
export async function handleTimeoutNow(
  replica: Replica,
  from: ReplicaId,
  message: TimeoutNowMessage,
): Promise<PeerReply> {
  const isFromLeader = message.term === replica.term && replica.leader === from;
  if (isFromLeader && replica.isVoter()) void startElection(replica);
  const { term } = replica;
  if (!(await replica.awaitHardState())) return stoppedReply(replica);
  return { kind: PeerReplyKind.TimeoutNowAnswer, term };
}

/**
 * A replica votes only once its log contains a list of members: a replica without one cannot know
 * which committed entries its vote might discard. Learners may vote: a candidate asks them only
 * when its own log, which must be as recent as theirs, has promoted them to voters.
 */
function canVote(replica: Replica): boolean {
  return replica.store.members.length > 0;
}

function hasRecentLeaderContact(replica: Replica): boolean {
  if (replica.role === ReplicaRole.Leader) return true;
  const silence = replica.now() - replica.lastLeaderContact;
  return silence < replica.tuning.minimumElectionTimeout;
}

function isUpToDate(replica: Replica, candidate: LogPosition): boolean {
  const { last } = replica.store;
  if (candidate.term !== last.term) return candidate.term > last.term;
  return candidate.index >= last.index;
}
