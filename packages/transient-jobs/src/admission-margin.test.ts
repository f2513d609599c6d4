import test from 'ava';

import { AdmissionMargin } from './admission-margin.js';

function recordEnds(
  margin: AdmissionMargin,
  queue: string,
  count: number,
  isInTime: (number: number) => boolean,
): void {
  for (let number = 0; number < count; number += 1) {
    margin.recordEnd(queue, isInTime(number));
  }
}

test('jobs that end in time leave the whole slack', t => {
  const margin = new AdmissionMargin();
  recordEnds(margin, 'lookups', 200, () => true);
  t.is(margin.getWaitShare('lookups'), 1);
});

test('under overload, when every third job is late, jobs may be expected to wait less, within a bound', t => {
  const margin = new AdmissionMargin();
  recordEnds(margin, 'lookups', 30, number => number % 3 !== 0);
  const afterShortOverload = margin.getWaitShare('lookups');
  t.true(afterShortOverload < 0.7);
  recordEnds(margin, 'lookups', 1_000, number => number % 3 !== 0);
  t.true(margin.getWaitShare('lookups') >= 0.05);
  t.true(margin.getWaitShare('lookups') < afterShortOverload);
});

test('the margin goes back once jobs end in time again', t => {
  const margin = new AdmissionMargin();
  recordEnds(margin, 'lookups', 100, () => false);
  recordEnds(margin, 'lookups', 150, () => true);
  t.is(margin.getWaitShare('lookups'), 1);
});

test('a queue whose jobs are late changes nothing for another queue', t => {
  const margin = new AdmissionMargin();
  recordEnds(margin, 'reports', 100, () => false);
  t.is(margin.getWaitShare('lookups'), 1);
});
