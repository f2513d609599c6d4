import { type Member, MemberRole } from '@cranberryturn/replicated-log';
import test from 'ava';

import { createFounderChoice } from './choose-founders.js';

const beforeDelay = 2_900;
const afterDelay = 3_000;

function composeHosts(
  dataCentres: Readonly<Record<string, number>>,
): readonly Member[] {
  return Object.entries(dataCentres).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, number) => ({
      replicaId: `${dataCentre}-${String(number)}`,
      role: MemberRole.Voter,
      address: `${dataCentre}:${String(number + 1)}`,
      dataCentre,
    })),
  );
}

function choose(
  group: Parameters<typeof createFounderChoice>[0],
  dataCentres: Readonly<Record<string, number>>,
  waited: number,
): readonly string[] {
  const founders = createFounderChoice(group)(
    composeHosts(dataCentres),
    waited,
  );
  return founders.map(({ replicaId }) => replicaId);
}

/** Guards against a first acknowledgement that rests on too few disks. */
test('hosts found the log at once if they outlast the tolerated losses, and otherwise after a delay', t => {
  const group = { minimumVoters: 3, toleratedDataCentres: 0 };
  t.is(choose(group, { a: 1, b: 1, c: 1 }, 0).length, 3);
  t.is(choose(group, { a: 1, b: 1 }, beforeDelay).length, 0);
  t.is(choose(group, { a: 1, b: 1 }, afterDelay).length, 2);
  t.is(choose(group, { a: 1 }, afterDelay).length, 0);
});

/** Guards against a first acknowledgement that is lost with one data centre. */
test('founding members are spread so that no tolerated data centre takes a majority with it', t => {
  const group = { minimumVoters: 5, toleratedDataCentres: 1 };
  t.is(choose(group, { a: 3, b: 2 }, beforeDelay).length, 0);
  t.is(choose(group, { a: 2, b: 2, c: 2 }, 0).length, 6);
  t.deepEqual(choose(group, { a: 4, b: 2, c: 2 }, 0), [
    'a-0',
    'a-1',
    'a-2',
    'b-0',
    'b-1',
    'c-0',
    'c-1',
  ]);
  t.true(choose(group, { a: 3, b: 2 }, afterDelay).length >= 3);
});

/** Guards against a host that founds the log alone because it came first. */
test('a host waits for others where no loss is to be tolerated, and founds the log alone if there are none', t => {
  const group = { minimumVoters: 1, toleratedDataCentres: 0 };
  t.is(choose(group, { a: 1 }, beforeDelay).length, 0);
  t.is(choose(group, { a: 1 }, afterDelay).length, 1);
  t.is(choose(group, { a: 1, b: 1, c: 1 }, 0).length, 3);
});
