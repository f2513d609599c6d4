/** The rate of started work that load reports name. */
import test from 'ava';

import { StartedWork } from './started-work.js';

test('work counts for one second after its start, by priority', t => {
  const started = new StartedWork();
  started.add(0, 500, 1_000);
  started.add(2, 1_500, 1_050);
  t.deepEqual(started.measureRates(1_100), [0.5, 0, 1.5, 0]);
  started.add(2, 1_000, 1_950);
  t.deepEqual(started.measureRates(1_990), [0.5, 0, 2.5, 0]);
  t.deepEqual(started.measureRates(2_100), [0, 0, 1, 0]);
});

test('after a longer pause no earlier work is left, and priorities beyond the last count for it', t => {
  const started = new StartedWork();
  started.add(9, 1_000, 100);
  t.deepEqual(started.measureRates(200), [0, 0, 0, 1]);
  t.deepEqual(started.measureRates(60_000), [0, 0, 0, 0]);
});

test('an order with a negative estimate does not make a rate negative, which dispatchers would reject', t => {
  const started = new StartedWork();
  started.add(0, -1_000, 100);
  t.deepEqual(started.measureRates(200), [0, 0, 0, 0]);
});
