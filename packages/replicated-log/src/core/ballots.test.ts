import test from 'ava';

import { MemberRole } from '../members.js';
import { PeerReplyKind, type SeedAnswer } from '../ports/peer-link.js';
import { findDecision, findLatestAccepted } from './ballots.js';

function composeAnswer(round: number, host: string): SeedAnswer {
  const ballot = { round, proposer: 'a' };
  const members = [{ replicaId: host, role: MemberRole.Voter, address: '' }];
  const accepted = { ballot, members };
  return {
    kind: PeerReplyKind.SeedAnswer,
    candidates: [],
    promised: ballot,
    accepted,
  };
}

const undecided: SeedAnswer = {
  kind: PeerReplyKind.SeedAnswer,
  candidates: [],
};

/** Guards against two groups: a ballot that a minority has accepted may still be overruled. */
test('only what a majority of the seeds has accepted in one ballot is decided', t => {
  const one = composeAnswer(1, 'x');
  const other = composeAnswer(2, 'y');
  t.is(findDecision([one, undecided, undecided], 3), undefined);
  t.is(findDecision([one], 2), undefined);
  t.is(findDecision([one, other, undecided], 3), undefined);
  t.is(findDecision([undecided, other, other], 3), other.accepted?.members);
  t.is(findDecision([one], 1), one.accepted?.members);
});

/** Guards against a proposer that overrules what may have been decided before. */
test('what was accepted in the latest ballot is proposed again', t => {
  const answers = [composeAnswer(1, 'x'), composeAnswer(2, 'y'), undecided];
  t.is(findLatestAccepted(answers)?.members[0]?.replicaId, 'y');
  t.is(findLatestAccepted([undecided]), undefined);
});
