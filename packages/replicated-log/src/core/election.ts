/** Elections: pre-vote, vote, and the loop that starts them. */
import type { ReplicaId, Term } from '@cranberryturn/types';

import { ReplicaRole } from '../log-types.js';
import { PeerMessageKind, PeerReplyKind } from '../ports/peer-link.js';
import { startLeadership } from './leadership.js';
import { callPeer } from './peer-calls.js';
import type { Replica } from './replica.js';

type BallotKind = PeerMessageKind.PreVote | PeerMessageKind.Vote;

/** Stands for election whenever no leader was heard for a random election timeout. */
export async function runElections(replica: Replica): Promise<void> {
  if (isOnlyVoter(replica)) replica.electionDeadline = replica.now();
  else postponeStanding(replica);
  while (!replica.isStopped) {
    if (replica.role === ReplicaRole.Leader) {
      await replica.changed.wait();
      continue;
    }
    const rest = replica.electionDeadline - replica.now();
    if (rest > 0) {
      await replica.changed.wait(rest);
      continue;
    }
    postponeStanding(replica);
    if (canStand(replica)) await standWithPreVote(replica);
  }
}

/** After a start of all replicas at once, nobody leads: waiting as for a silent leader would waste time. */
function postponeStanding(replica: Replica): void {
  if (replica.hasHeardNoLeader) replica.hastenElection();
  else replica.postponeElection();
}

/** Stands for election without a pre-vote: the leader asked for it in a planned handover. */
export async function standForElection(replica: Replica): Promise<void> {
  replica.postponeElection();
  replica.enterTerm(replica.term + 1, replica.replicaId);
  replica.becomeCandidate();
  const { term } = replica;
  const isStanding = (): boolean =>
    replica.role === ReplicaRole.Candidate && replica.term === term;
  if (!(await replica.hardStateSynced()) || !isStanding()) return;
  const won = await collectBallots(replica, PeerMessageKind.Vote, term);
  if (!isStanding()) return;
  if (won) startLeadership(replica);
}

async function standWithPreVote(replica: Replica): Promise<void> {
  const { term } = replica;
  const startedAt = replica.now();
  const nextTerm = term + 1;
  const promised = await collectBallots(
    replica,
    PeerMessageKind.PreVote,
    nextTerm,
  );
  const heardLeader = replica.lastLeaderContact > startedAt;
  if (!promised || heardLeader || replica.term !== term) return;
  if (canStand(replica)) await standForElection(replica);
}

function canStand(replica: Replica): boolean {
  if (replica.isStopped || replica.role === ReplicaRole.Leader) return false;
  const diskHangs = replica.store.writingFor() > replica.tuning.diskHangLimit;
  return replica.isVoter() && !diskHangs;
}

function isOnlyVoter(replica: Replica): boolean {
  return replica.isVoter() && replica.voters().length === 1;
}

/** Resolves as soon as a majority granted, or can no longer grant. */
function collectBallots(
  replica: Replica,
  kind: BallotKind,
  term: Term,
): Promise<boolean> {
  const voters = replica.voters().map(member => member.replicaId);
  const peers = voters.filter(voter => voter !== replica.replicaId);
  const quorum = replica.quorum();
  let granted = voters.length - peers.length;
  let open = peers.length;
  if (granted >= quorum) return Promise.resolve(true);
  return new Promise(resolve => {
    for (const peer of peers) {
      void askForBallot(replica, peer, kind, term).then(isGranted => {
        open -= 1;
        if (isGranted) granted += 1;
        if (granted >= quorum) resolve(true);
        else if (granted + open < quorum) resolve(false);
      });
    }
  });
}

async function askForBallot(
  replica: Replica,
  peer: ReplicaId,
  kind: BallotKind,
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
