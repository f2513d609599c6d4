import {
  defaultRunValidity,
  type ToWorkerBody,
  ToWorkerKind,
} from '@cranberryturn/wire';
import test from 'ava';

import { DispatcherLeases } from './dispatcher-leases.js';
import { startGateFixture } from './fakes/gate-fixture.js';

const malformedBodies: readonly unknown[] = [
  { kind: 5 },
  { kind: ToWorkerKind.PlaceRuns },
  { kind: ToWorkerKind.PlaceRuns, order: null },
  { kind: ToWorkerKind.PlaceRuns, order: { jobId: 'a', tasks: [null] } },
  { kind: ToWorkerKind.StopRuns, jobId: 'a', taskIds: 'text' },
  { kind: ToWorkerKind.ReturnRuns, jobId: 'a' },
  { kind: ToWorkerKind.KnownDispatchers, dispatchers: [{}] },
  { kind: ToWorkerKind.KnownDispatchers, version: 1e300, dispatchers: [] },
  { kind: ToWorkerKind.Evacuations, state: null, isProved: true },
];

test('a malformed message of a dispatcher closes its connection, and later orders are executed', async t => {
  const { timers, network, gate, send, place, listStarts } =
    await startGateFixture();
  for (const body of malformedBodies) {
    const opened = network.connections.length;
    send(body as ToWorkerBody);
    await timers.advance(500);
    t.is(network.connections.length, opened + 1, JSON.stringify(body));
  }
  place({ jobId: 'order' });
  await timers.advance(100);
  t.deepEqual(listStarts(), ['order/1']);
  gate.kill();
});

test('a message of a later version is ignored', async t => {
  const { timers, network, gate, send } = await startGateFixture();
  send({ kind: 'later version' } as unknown as ToWorkerBody);
  await timers.advance(500);
  t.is(network.connections.length, 1);
  gate.kill();
});

test('an echo from the future does not extend the lease of its dispatcher', t => {
  const leases = new DispatcherLeases(defaultRunValidity);
  for (const echo of [1_001, Infinity, NaN]) {
    leases.renew('dispatcher-1', echo, 1_000);
    t.false(
      leases.isHeld(leases.findLease('dispatcher-1'), 1_000),
      String(echo),
    );
  }
  leases.renew('dispatcher-1', 1_000, 1_000);
  t.true(leases.canStart(leases.findLease('dispatcher-1'), 1_000));
  t.false(leases.isHeld(leases.findLease('dispatcher-1'), 2_050));
});
