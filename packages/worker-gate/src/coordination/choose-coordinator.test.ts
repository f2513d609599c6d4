import type { KnownDispatcher } from '@cranberryturn/types';
import test from 'ava';

import { chooseCoordinator, rankCoordinators } from './choose-coordinator.js';

function listDispatchers(
  count: number,
  large = 0,
  smallProcessors = 0.54,
): readonly KnownDispatcher[] {
  return Array.from({ length: count }, (_, number) => ({
    dispatcherId: `dispatcher-${String(number)}`,
    address: { address: '10.0.0.1', port: 7_700 + number },
    processors: number < large ? 1.08 : smallProcessors,
  }));
}

function chooseForAll(
  sidecars: number,
  dispatchers: readonly KnownDispatcher[],
): ReadonlyMap<string, number> {
  const chosen = new Map<string, number>();
  for (let sidecar = 0; sidecar < sidecars; sidecar += 1) {
    const ranked = rankCoordinators(`sidecar-${String(sidecar)}`, dispatchers);
    const name = chooseCoordinator(ranked, () => true) ?? '';
    chosen.set(name, (chosen.get(name) ?? 0) + 1);
  }
  return chosen;
}

test('up to six dispatchers have one coordinator, on a large host', t => {
  const chosen = chooseForAll(100, listDispatchers(6, 3));
  t.is(chosen.size, 1);
  t.true(
    ['dispatcher-0', 'dispatcher-1', 'dispatcher-2'].includes(
      [...chosen.keys()][0] ?? '',
    ),
  );
});

test('up to 16 dispatchers have three coordinators on large hosts, with about as many workers each', t => {
  const chosen = chooseForAll(160, listDispatchers(16, 5));
  t.is(chosen.size, 3);
  t.true([...chosen.values()].every(workers => workers < 80));
  const large = new Set(
    listDispatchers(5).map(({ dispatcherId }) => dispatcherId),
  );
  t.true([...chosen.keys()].every(name => large.has(name)));
});

test('where a dispatcher reaches fewer than half of the workers, none coordinates', t => {
  t.deepEqual(rankCoordinators('sidecar', listDispatchers(17, 6)), []);
});

test('the choice does not depend on the order of the list', t => {
  const dispatchers = listDispatchers(16, 6);
  t.deepEqual(
    rankCoordinators('sidecar', dispatchers.toReversed()),
    rankCoordinators('sidecar', dispatchers),
  );
});

test('without its coordinator a sidecar chooses the next dispatcher, and none without any', t => {
  const ranked = rankCoordinators('sidecar', listDispatchers(3));
  const [preferred, next] = ranked.map(one => one.dispatcherId);
  t.is(
    chooseCoordinator(ranked, () => true),
    preferred,
  );
  t.is(
    chooseCoordinator(ranked, name => name !== preferred),
    next,
  );
  t.is(
    chooseCoordinator(ranked, () => false),
    undefined,
  );
});

test('hosts with less than half of the processors of the largest do not coordinate', t => {
  const ranked = rankCoordinators('sidecar', listDispatchers(16, 6, 0.324));
  t.is(ranked.length, 6);
  t.true(ranked.every(({ processors }) => processors === 1.08));
});
