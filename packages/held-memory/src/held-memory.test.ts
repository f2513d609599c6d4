import test from 'ava';

import { HeldMemory } from './held-memory.js';

/** Reserves memory, and notes who gave way. */
function reserveAll(sizes: readonly number[], maximumBytes: number) {
  const memory = new HeldMemory(maximumBytes);
  const gaveWay: number[] = [];
  const reservations = sizes.map((bytes, position) => {
    const reservation = memory.reserve(() => {
      gaveWay.push(position);
    });
    reservation.resize(bytes);
    return reservation;
  });
  return { memory, gaveWay, reservations };
}

test('stalled reservations give way to a new one, the oldest first, and only as many as needed', t => {
  const { memory, gaveWay } = reserveAll([40, 40, 20, 30], 100);
  t.deepEqual(gaveWay, [0]);
  t.is(memory.bytes, 90);
});

test('pinned reservations do not give way, and the requester is refused', t => {
  const { memory, gaveWay, reservations } = reserveAll([60, 40], 100);
  for (const reservation of reservations) reservation.pin();
  const refused = memory.reserve(() => undefined);
  t.false(refused.resize(1));
  t.is(refused.bytes, 0);
  reservations[0]?.unpin();
  refused.release();
  t.true(memory.reserve(() => undefined).resize(1));
  t.deepEqual(gaveWay, [0]);
  t.is(memory.bytes, 41);
});

test('the oldest reservation does not make younger ones give way', t => {
  const { memory, gaveWay, reservations } = reserveAll([50, 50], 100);
  t.false(reservations[0]?.resize(60));
  t.deepEqual(gaveWay, []);
  t.is(memory.bytes, 100);
});

test('a reservation whose wait begins anew is the newest', t => {
  const { memory, gaveWay, reservations } = reserveAll([50, 50], 100);
  reservations[0]?.pin();
  reservations[0]?.unpin();
  memory.reserve(() => undefined).resize(50);
  t.deepEqual(gaveWay, [1]);
});

test('what was released counts no longer and cannot grow again', t => {
  const { memory, reservations } = reserveAll([50], 100);
  reservations[0]?.release();
  t.false(reservations[0]?.resize(10));
  reservations[0]?.record(10);
  reservations[0]?.unpin();
  t.is(memory.bytes, 0);
});
