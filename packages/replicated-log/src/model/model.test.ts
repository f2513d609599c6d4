import test from 'ava';

import { checkModel } from './check-model.js';

const checks = [
  { runs: 1_500, seed: 20_261_203, replicas: 3, shouldShrink: false },
  { runs: 600, seed: 20_261_204, replicas: 5, shouldShrink: false },
];

for (const check of checks) {
  test(`the invariants hold under random faults with ${String(check.replicas)} replicas`, async t => {
    const report = await checkModel(check);
    t.log(report.text);
    t.false(report.hasFailed, report.text);
  });
}
