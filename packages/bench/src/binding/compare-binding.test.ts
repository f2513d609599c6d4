/** The comparison must show the difference that it exists for, and no way may start a task twice or overfill a worker. */
import test from 'ava';

import { compareBinding } from './compare-binding.js';

const options = {
  seeds: [5],
  factors: [1.3],
  dispatchers: 6,
  workers: 11,
  durationMilliseconds: 6_000,
};

test('the shared queue is nearer to the central queue than early binding is, with fewer messages than reservations at all workers', t => {
  const rows = compareBinding(options);
  const find = (name: string) => {
    const row = rows.find(({ way }) => way.startsWith(name));
    if (row === undefined) throw new Error(`The comparison has no ${name}.`);
    return row;
  };
  const shared = find('shared queue, 0 %');
  t.true(shared.idleShare < find('early binding').idleShare);
  t.true(shared.messagesPerTask < find('reservations at all').messagesPerTask);
  t.true(
    (shared.lateShares.get('lookup') ?? 1) <=
      (find('early binding').lateShares.get('lookup') ?? 0),
  );
});

test('the same options give the same rows', t => {
  t.deepEqual(compareBinding(options), compareBinding(options));
});
