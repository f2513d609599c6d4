import test from 'ava';

import {
  chooseVoters,
  findSufficientHosts,
  type HostLayout,
  tolerates,
} from './tolerated-losses.js';

function compose(...counts: readonly number[]): HostLayout {
  return new Map(counts.map((count, index) => [`d${String(index)}`, count]));
}

function choose(
  counts: readonly number[],
  hosts: number,
  dataCentres: number,
): readonly number[] {
  const chosen = chooseVoters({
    hosts: compose(...counts),
    losses: { hosts, dataCentres },
    maximumVoters: 7,
    rank: () => 0,
  });
  return counts.map((_, index) => chosen.get(`d${String(index)}`) ?? 0);
}

test('voters outlast the losses only if a majority is left by each of them', t => {
  t.true(tolerates(compose(2, 2, 2), { hosts: 2, dataCentres: 1 }));
  t.true(tolerates(compose(2, 2, 2, 1), { hosts: 3, dataCentres: 1 }));
  t.false(tolerates(compose(2, 2), { hosts: 1, dataCentres: 1 }));
  t.false(tolerates(compose(3, 2, 1), { hosts: 2, dataCentres: 1 }));
  t.false(tolerates(compose(1, 1, 1, 1), { hosts: 2, dataCentres: 0 }));
  t.true(tolerates(compose(2, 2, 1, 1, 1), { hosts: 1, dataCentres: 1 }));
});

test('voters are spread over data centres, and fewer vote where more would not outlast the losses', t => {
  t.deepEqual(choose([2, 2, 2], 2, 1), [2, 2, 2]);
  t.deepEqual(choose([2, 2, 2, 2], 2, 1), [2, 2, 2, 1]);
  t.deepEqual(choose([4, 4, 4], 2, 1), [3, 2, 2]);
  t.deepEqual(choose([3, 2, 1], 2, 1), [2, 2, 1]);
  t.deepEqual(choose([4, 1, 1], 1, 1), [1, 1, 1]);
});

test('as many hosts vote as possible where no choice outlasts the losses', t => {
  t.deepEqual(choose([3, 3], 1, 1), [3, 3]);
  t.deepEqual(choose([2, 1, 1], 2, 1), [2, 1, 1]);
});

test('what would outlast the losses is found with the fewest hosts added', t => {
  const find = (counts: readonly number[], hosts: number, dataCentres = 1) =>
    findSufficientHosts({
      hosts: compose(...counts),
      losses: { hosts, dataCentres },
      maximumVoters: 7,
    });
  t.deepEqual(find([2, 1], 2, 0), compose(3, 2));
  t.deepEqual(find([2, 2, 0], 2), compose(2, 2, 1));
  t.deepEqual(
    find([2, 2], 1),
    new Map([...compose(2, 2), ['other data centre 1', 1]]),
  );
  t.is(find([2, 2, 2], 4), undefined);
});
