import test from 'ava';

import { HeldMemory } from './held-memory.js';

/** Reserves memory, and notes what is evicted. */
function reserveAll(sizes: readonly number[], maximumBytes: number) {
  const memory = new HeldMemory(maximumBytes);
  const evicted: number[] = [];
  const reservations = sizes.map((bytes, position) => {
    const reservation = memory.reserve(() => {
      evicted.push(position);
    });
    reservation.resize(bytes);
    return reservation;
  });
  return { memory, evicted, reservations };
}

test('stalled reservations are evicted for a new one, the oldest first, and only as many as needed', t => {
  const { memory, evicted } = reserveAll([40, 40, 20, 30], 100);
  t.deepEqual(evicted, [0]);
  t.is(memory.bytes, 90);
});

test('pinned reservations are not evicted, and the requester is refused', t => {
  const { memory, evicted, reservations } = reserveAll([60, 40], 100);
  for (const reservation of reservations) reservation.pin();
  const refused = memory.reserve(() => undefined);
  t.false(refused.resize(1));
  t.is(refused.bytes, 0);
  reservations[0]?.unpin();
  refused.release();
  t.true(memory.reserve(() => undefined).resize(1));
  t.deepEqual(evicted, [0]);
  t.is(memory.bytes, 41);
});

test('the oldest reservation does not evict younger ones', t => {
  const { memory, evicted, reservations } = reserveAll([50, 50], 100);
  t.false(reservations[0]?.resize(60));
  t.deepEqual(evicted, []);
  t.is(memory.bytes, 100);
});

test('a reservation whose wait begins anew is the newest', t => {
  const { memory, evicted, reservations } = reserveAll([50, 50], 100);
  reservations[0]?.pin();
  reservations[0]?.unpin();
  memory.reserve(() => undefined).resize(50);
  t.deepEqual(evicted, [1]);
});

test('what was released counts no longer and cannot grow again', t => {
  const { memory, reservations } = reserveAll([50], 100);
  reservations[0]?.release();
  t.false(reservations[0]?.resize(10));
  reservations[0]?.record(10);
  reservations[0]?.unpin();
  t.is(memory.bytes, 0);
});
