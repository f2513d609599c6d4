import test from 'ava';

import {
  type PlannedTarget,
  planSessions,
  type SessionPlan,
  SessionPlanKind,
} from './plan-sessions.js';

function composeTargets(
  count: number,
  dataCentres: number,
  inRack: number,
): PlannedTarget[] {
  return Array.from({ length: count }, (_unused, position) => ({
    targetId: `worker-${String(position)}`,
    rack: `rack-${String(Math.floor(position / inRack / dataCentres))}`,
    dataCentre: `centre-${String(position % dataCentres)}`,
  }));
}

function nameDispatchers(count: number): string[] {
  return Array.from(
    { length: count },
    (_unused, position) => `dispatcher-${String(position)}`,
  );
}

function listSessions(plan: SessionPlan): string[] {
  if (plan.kind === SessionPlanKind.FullMesh) return [];
  return [...plan.dispatchersByTarget].flatMap(([target, dispatchers]) =>
    dispatchers.map(dispatcher => `${target} ${dispatcher}`),
  );
}

function countByDispatcher(plan: SessionPlan): number[] {
  const counts = new Map<string, number>();
  for (const session of listSessions(plan)) {
    const dispatcher = session.split(' ')[1] ?? '';
    counts.set(dispatcher, (counts.get(dispatcher) ?? 0) + 1);
  }
  return [...counts.values()];
}

function countNew(before: SessionPlan, after: SessionPlan): number {
  const known = new Set(listSessions(before));
  return listSessions(after).filter(session => !known.has(session)).length;
}

const targets = composeTargets(1_600, 7, 3);
const dispatchers = nameDispatchers(36);
const large = { targets, dispatchers, targetsPerDispatcher: 440 };

test('1,600 targets are spread evenly over 36 dispatchers, independent of input order', t => {
  const plan = planSessions(large);
  const counts = countByDispatcher(plan);
  t.log(
    `targets of a dispatcher: ${String(Math.min(...counts))} to ${String(Math.max(...counts))}`,
  );
  t.is(counts.length, 36);
  t.true(Math.max(...counts) / Math.min(...counts) < 1.05);
  const shuffled = planSessions({
    ...large,
    targets: [...targets].reverse(),
    dispatchers: [...dispatchers].reverse(),
  });
  t.deepEqual(listSessions(shuffled), listSessions(plan));
});

test('each dispatcher has targets in at least two racks of each data centre', t => {
  const small = composeTargets(24, 2, 6);
  for (const input of [
    large,
    { targets: small, dispatchers, targetsPerDispatcher: 2 },
  ]) {
    const plan = planSessions(input);
    t.is(plan.kind, SessionPlanKind.Subsets);
    const targetsById = new Map(
      input.targets.map(target => [target.targetId, target]),
    );
    const racks = new Set<string>();
    for (const session of listSessions(plan)) {
      const [target = '', dispatcher = ''] = session.split(' ');
      const { dataCentre = '', rack = '' } = targetsById.get(target) ?? {};
      racks.add(`${dispatcher} ${dataCentre} ${rack}`);
    }
    const centres = new Set(input.targets.map(target => target.dataCentre));
    for (const dispatcher of dispatchers) {
      for (const centre of centres) {
        const prefix = `${dispatcher} ${centre} `;
        const own = [...racks].filter(key => key.startsWith(prefix));
        t.true(own.length >= 2, prefix);
      }
    }
  }
});

test('11 targets and 3 dispatchers form a full mesh', t => {
  const plan = planSessions({
    targets: composeTargets(11, 3, 3),
    dispatchers: nameDispatchers(3),
    targetsPerDispatcher: 440,
  });
  t.is(plan.kind, SessionPlanKind.FullMesh);
});

test('few sessions change when a target or a dispatcher leaves', t => {
  const plan = planSessions(large);
  const withoutTarget = planSessions({ ...large, targets: targets.slice(1) });
  const withoutDispatcher = planSessions({
    ...large,
    dispatchers: dispatchers.slice(1),
  });
  const afterTarget = countNew(plan, withoutTarget);
  const afterDispatcher = countNew(plan, withoutDispatcher);
  t.log(
    `new sessions: target ${String(afterTarget)}, dispatcher ${String(afterDispatcher)}`,
  );
  t.true(afterTarget <= 100);
  t.true(afterDispatcher <= 2 * 445);
});
