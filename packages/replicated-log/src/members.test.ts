import test from 'ava';

import { planMemberChange } from './core/membership.js';
import { MemberChangeKind, MemberRole } from './members.js';

const voter = { replicaId: 'c1', role: MemberRole.Voter, address: 'a:1' };
const observer = { replicaId: 'c2', role: MemberRole.Observer, address: 'a:2' };

test('an observer cannot be promoted', t => {
  const planned = planMemberChange([voter, observer], {
    kind: MemberChangeKind.Promote,
    replicaId: 'c2',
  });
  t.is(
    planned._unsafeUnwrapErr().message,
    'The members were not changed: "c2" is an observer, which cannot become a voter. Check the list of members in the status of control.',
  );
});

test('the last voter cannot be removed while only observers remain', t => {
  const planned = planMemberChange([voter, observer], {
    kind: MemberChangeKind.Remove,
    replicaId: 'c1',
  });
  t.true(planned.isErr());
});

test('only an observer with a disk can be made a learner, and keeps its place in the list', t => {
  const change = {
    kind: MemberChangeKind.MakeLearner,
    replicaId: 'c2',
  } as const;
  t.true(planMemberChange([observer, voter], change).isErr());
  const standby = { ...observer, isStandby: true as const };
  const planned = planMemberChange([standby, voter], change);
  t.deepEqual(planned._unsafeUnwrap(), [
    { ...observer, role: MemberRole.Learner },
    voter,
  ]);
});

test('the last voter cannot be made a standby', t => {
  const change = {
    kind: MemberChangeKind.MakeStandby,
    replicaId: 'c1',
  } as const;
  t.true(planMemberChange([voter, observer], change).isErr());
});
