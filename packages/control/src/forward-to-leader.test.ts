import { ReplicaRole } from '@cranberryturn/replicated-log';
import { okAsync } from 'neverthrow';
import test from 'ava';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import { forwardToLeader } from './forward-to-leader.js';

test('a call that the leader does not know, as it runs an earlier version, is not settled', async t => {
  const reply = await forwardToLeader(
    {
      status: () => ({
        replicaId: 'c2',
        role: ReplicaRole.Follower,
        term: 1,
        leader: 'c1',
        commitIndex: 0,
        appliedIndex: 0,
        lastIndex: 0,
        snapshotIndex: 0,
        members: [],
      }),
      administerLocally: () => Promise.reject(new Error('It does not lead.')),
      administerAt: () => okAsync(undefined),
    },
    { method: AdministrationMethod.ListEvacuations },
  );
  t.is(reply.kind, AdministrationReplyKind.Unavailable);
});
