import { RunEndReason, RunOutcome } from '@cranberryturn/types';
import { defaultRunValidity } from '@cranberryturn/wire';
import test from 'ava';

import { DispatcherLeases } from './dispatcher-leases.js';
import { startGateFixture } from './fakes/gate-fixture.js';

test('a sidecar that was suspended returns its queue and stops its runs, and then starts new ones', async t => {
  const { timers, worker, gate, place, ends, listStarts } =
    await startGateFixture(1);
  worker.runMilliseconds = 3_000;
  place({ jobId: 'running' });
  place({ jobId: 'queued' });
  await timers.advance(50);
  // The clock of the worker went on while that of the sidecar stood still.
  worker.clockAheadMilliseconds = 4_000;
  await timers.advance(600);
  t.deepEqual(
    ends.map(({ jobId, outcome, reason }) => [jobId, outcome, reason]),
    [
      ['queued', RunOutcome.NotStarted, RunEndReason.Suspended],
      ['running', RunOutcome.Interrupted, RunEndReason.LeaseExpired],
    ],
  );
  place({ jobId: 'later' });
  await timers.advance(100);
  t.deepEqual(listStarts(), ['running/1', 'later/1']);
  gate.kill();
});

test('a start that a suspension delayed is refused by the worker, and not sent again with a new deadline', async t => {
  const { timers, worker, gate, place, ends, listStarts } =
    await startGateFixture(1);
  worker.clockAheadMilliseconds = 4_000;
  place({ jobId: 'delayed' });
  await timers.advance(100);
  t.deepEqual(listStarts(), []);
  t.is(ends[0]?.outcome, RunOutcome.NotStarted);
  gate.kill();
});

test('after a suspension only echoes of later stamps renew a lease', t => {
  const leases = new DispatcherLeases(defaultRunValidity);
  leases.renew('dispatcher-1', 1_000, 1_010);
  leases.endAllLeases(1_020);
  leases.renew('dispatcher-1', 1_015, 1_030);
  t.false(leases.isHeld(leases.findLease('dispatcher-1'), 1_030));
  leases.renew('dispatcher-1', 1_025, 1_040);
  t.true(leases.canStart(leases.findLease('dispatcher-1'), 1_040));
});
