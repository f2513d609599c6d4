import test from 'ava';

import { checkModel, type ModelCheck } from './check-model.js';

const checks: readonly ModelCheck[] = [
  { runs: 1_500, seed: 20_261_203, replicas: 3, shouldShrink: false },
  { runs: 600, seed: 20_261_204, replicas: 5, shouldShrink: false },
  {
    runs: 600,
    seed: 20_261_205,
    replicas: 3,
    beginsWithFounding: true,
    shouldShrink: false,
  },
  {
    runs: 300,
    seed: 20_261_206,
    replicas: 5,
    beginsWithFounding: true,
    shouldShrink: false,
  },
];

for (const check of checks) {
  const start =
    check.beginsWithFounding === true ? 'from their founding on' : 'in a group';
  test(`the invariants hold under random faults with ${String(check.replicas)} replicas ${start}`, async t => {
    const report = await checkModel(check);
    t.log(report.text);
    t.false(report.hasFailed, report.text);
  });
}
