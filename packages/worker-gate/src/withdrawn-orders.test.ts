/** A stop that arrives in one frame with its order, as after a session has resumed, keeps the run from starting. */
import type { JobId } from '@cranberryturn/types';
import { RunEndReason, RunOutcome } from '@cranberryturn/types';
import { ToWorkerKind } from '@cranberryturn/wire';
import test from 'ava';

import { type GateFixture, startGateFixture } from './fakes/gate-fixture.js';

const settleMilliseconds = 500;

test('a run does not start whose stop arrives in the frame of its order', async t => {
  const fixture = await startGateFixture(1);
  fixture.place({ jobId: 'job' });
  stop(fixture, 'job');
  await fixture.timers.advance(settleMilliseconds);
  t.deepEqual(fixture.listStarts(), []);
  t.deepEqual(listEnds(fixture), [
    ['job', RunOutcome.NotStarted, RunEndReason.Cancelled],
  ]);
  fixture.gate.kill();
});

test('a run does not start whose order and stop are sent again when the session resumes', async t => {
  const fixture = await startGateFixture(1);
  for (const connection of fixture.network.connections) connection.disconnect();
  fixture.place({ jobId: 'job', mayWait: false });
  stop(fixture, 'job');
  await fixture.timers.advance(settleMilliseconds);
  t.deepEqual(fixture.listStarts(), []);
  t.deepEqual(listEnds(fixture), [
    ['job', RunOutcome.NotStarted, RunEndReason.Cancelled],
  ]);
  fixture.gate.kill();
});

test('a stopped order does not take the capacity of the next order in its frame', async t => {
  const fixture = await startGateFixture(1);
  fixture.place({ jobId: 'stopped', mayWait: false });
  stop(fixture, 'stopped');
  fixture.place({ jobId: 'next', mayWait: false });
  fixture.place({ jobId: 'last', mayWait: false, priority: 0 });
  await fixture.timers.advance(settleMilliseconds);
  t.deepEqual(fixture.listStarts(), ['next/1']);
  t.deepEqual(listEnds(fixture), [
    ['stopped', RunOutcome.NotStarted, RunEndReason.Cancelled],
    ['last', RunOutcome.NotStarted, RunEndReason.NoRoom],
    ['next', RunOutcome.Done, undefined],
  ]);
  fixture.gate.kill();
});

function stop({ send }: GateFixture, jobId: JobId): void {
  send({ kind: ToWorkerKind.StopRuns, jobId, taskIds: ['0.0.0'] });
}

function listEnds({ ends }: GateFixture) {
  return ends.map(end => [end.jobId, end.outcome, end.reason]);
}
