/** Elections: the election loop, pre-votes and votes. */
import type { Milliseconds, ReplicaId, Term } from '@cranberryturn/types';

import { ReplicaRole } from '../log-types.js';
import { PeerMessageKind, PeerReplyKind } from '../ports/peer-link.js';
import { startLeadership } from './leadership.js';
import { callPeer } from './peer-calls.js';
import type { Replica } from './replica.js';

/** Processes that have just started answer slowly. */
const firstVoteTime: Milliseconds = 200;

type VoteRequestKind = PeerMessageKind.PreVote | PeerMessageKind.Vote;

/** Starts an election whenever no leader was heard for a random election timeout. Runs until the replica stops. */
export async function runElections(replica: Replica): Promise<void> {
  if (isOnlyVoter(replica)) replica.electionDeadline = replica.now();
  else scheduleNextElection(replica);
  while (!replica.isStopped) {
    if (replica.role === ReplicaRole.Leader) {
      await replica.changed.wait();
      continue;
    }
    const remaining = replica.electionDeadline - replica.now();
    if (remaining > 0) {
      await replica.changed.wait(remaining);
      continue;
    }
    scheduleNextElection(replica);
    if (canStartElection(replica)) await startElectionAfterPreVote(replica);
  }
}

/**
 * When all replicas start together there is no leader yet, so the first elections use shorter timeouts. `voteTime` is
 * left to the votes of an election that has started.
 */
function scheduleNextElection(
  replica: Replica,
  voteTime: Milliseconds = 0,
): void {
  if (replica.hasNeverHeardLeader) replica.scheduleFirstElection(voteTime);
  else replica.postponeElection();
}

/** Starts an election without a pre-vote. Also called directly for a leadership transfer. */
export async function startElection(replica: Replica): Promise<void> {
  scheduleNextElection(replica, firstVoteTime);
  replica.enterTerm(replica.term + 1, replica.replicaId);
  replica.becomeCandidate();
  const { term } = replica;
  const isStillCandidate = (): boolean =>
    replica.role === ReplicaRole.Candidate && replica.term === term;
  if (!(await replica.awaitHardState()) || !isStillCandidate()) return;
  const hasWon = await collectVotes(replica, PeerMessageKind.Vote, term);
  if (!isStillCandidate()) return;
  if (hasWon) startLeadership(replica);
}

async function startElectionAfterPreVote(replica: Replica): Promise<void> {
  const { term } = replica;
  const startedAt = replica.now();
  const nextTerm = term + 1;
  const hasPreVotes = await collectVotes(
    replica,
    PeerMessageKind.PreVote,
    nextTerm,
  );
  const hasHeardLeader = replica.lastLeaderContact > startedAt;
  if (!hasPreVotes || hasHeardLeader || replica.term !== term) return;
  if (canStartElection(replica)) await startElection(replica);
}

function canStartElection(replica: Replica): boolean {
  if (replica.isStopped || replica.role === ReplicaRole.Leader) return false;
  const isDiskHanging =
    replica.store.currentWriteMilliseconds() > replica.tuning.diskHangLimit;
  return replica.isVoter() && !isDiskHanging;
}

function isOnlyVoter(replica: Replica): boolean {
  return replica.isVoter() && replica.voters().length === 1;
}

/** Resolves with true once a quorum granted the vote, with false once a quorum has become impossible. */
function collectVotes(
  replica: Replica,
  kind: VoteRequestKind,
  term: Term,
): Promise<boolean> {
  const voters = replica.voters().map(member => member.replicaId);
  const peers = voters.filter(voter => voter !== replica.replicaId);
  const quorum = replica.quorumSize();
  let granted = voters.length - peers.length;
  let unanswered = peers.length;
  if (granted >= quorum) return Promise.resolve(true);
  return new Promise(resolve => {
    for (const peer of peers) {
      void requestVote(replica, peer, kind, term).then(isGranted => {
        unanswered -= 1;
        if (isGranted) granted += 1;
        if (granted >= quorum) resolve(true);
        else if (granted + unanswered < quorum) resolve(false);
      });
    }
  });
}

async function requestVote(
  replica: Replica,
  peer: ReplicaId,
  kind: VoteRequestKind,
  term: Term,
): Promise<boolean> {
  const { index, term: lastTerm } = replica.store.last;
  const last = { index, term: lastTerm };
  const reply = await callPeer(replica, peer, { kind, to: peer, term, last });
  if (reply.isErr() || reply.value.kind !== PeerReplyKind.VoteAnswer) {
    return false;
  }
  replica.observeTerm(reply.value.term);
  return reply.value.granted;
}
