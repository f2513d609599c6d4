import {
  type Member,
  type MemberChange,
  MemberChangeKind,
  MemberRole,
} from '@cranberryturn/replicated-log';
import test from 'ava';

import type { GroupView } from './group-view.js';
import { findGroupStep } from './plan-group.js';
import { MembershipStepKind } from './reconcile-members.js';

function compose(
  replicaId: string,
  dataCentre: string,
  role = MemberRole.Voter,
): Member {
  return { replicaId, role, address: replicaId, dataCentre };
}

/** Plans for a group led by the first member, of which some are silent for the given time. */
function plan(
  members: readonly Member[],
  silences: Readonly<Record<string, number>> = {},
  candidates: GroupView['candidates'] = [],
): MemberChange | undefined {
  const step = findGroupStep({
    leader: members[0]?.replicaId ?? '',
    members,
    candidates,
    measureSilence: replica => silences[replica] ?? 0,
    minimumVoters: 3,
    losses: { hosts: 1, dataCentres: 1 },
  });
  return step?.kind === MembershipStepKind.Change ? step.change : undefined;
}

test('no learner becomes a voter while a voter may be lost, since the majority would grow', t => {
  const group = [
    compose('a1', 'a'),
    compose('b1', 'b'),
    compose('c1', 'c'),
    compose('d1', 'd', MemberRole.Learner),
  ];
  t.is(plan(group, { c1: 600 }), undefined);
  t.deepEqual(plan(group), { kind: MemberChangeKind.Promote, replicaId: 'd1' });
});

test('no learner that may be lost becomes a voter, since a group of one voter would lose its majority', t => {
  const group = [
    compose('a1', 'a'),
    compose('b1', 'b', MemberRole.Learner),
    compose('c1', 'c', MemberRole.Learner),
  ];
  t.is(plan(group, { b1: 600, c1: 600 }), undefined);
  t.deepEqual(plan(group, { b1: 600 }), {
    kind: MemberChangeKind.Promote,
    replicaId: 'c1',
  });
});

test('no voter is exchanged while another may be lost, since the majority could be lost with it', t => {
  const group = [
    ...['a1', 'a2', 'a3', 'a4'].map(name => compose(name, 'a')),
    ...['b1', 'b2', 'b3'].map(name => compose(name, 'b')),
    compose('c1', 'c', MemberRole.Learner),
  ];
  t.is(plan(group, { b1: 600 }), undefined);
  t.is(plan(group, { c1: 600 }), undefined, 'its successor may be lost');
  t.deepEqual(plan(group), {
    kind: MemberChangeKind.MakeStandby,
    replicaId: 'a4',
  });
});

test('members and candidates of earlier versions count as data centres of their own', t => {
  const member = (replicaId: string): Member => ({
    replicaId,
    role: MemberRole.Voter,
    address: replicaId,
  });
  const members = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'].map(member);
  const candidate = { replicaId: 'n', address: 'n' };
  t.deepEqual(plan(members, {}, [candidate]), {
    kind: MemberChangeKind.AddLearner,
    ...candidate,
  });
  t.is(plan([...members, member('m7')]), undefined);
});

test('a lost voter that nobody can replace stays while the group has the fewest voters', t => {
  const group = ['a', 'b', 'c'].map(name => compose(`${name}1`, name));
  t.is(plan(group, { c1: 9_000 }), undefined);
});
