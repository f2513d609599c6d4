import test from 'ava';

import { checkModel, type ModelCheck } from './check-model.js';
import { ModelBeginning } from './run-operations.js';

const checks: readonly ModelCheck[] = [
  { runs: 1_500, seed: 20_261_203, replicas: 3, shouldShrink: false },
  { runs: 600, seed: 20_261_204, replicas: 5, shouldShrink: false },
  {
    runs: 600,
    seed: 20_261_205,
    replicas: 3,
    beginning: ModelBeginning.Founding,
    shouldShrink: false,
  },
  {
    runs: 300,
    seed: 20_261_206,
    replicas: 5,
    beginning: ModelBeginning.Founding,
    shouldShrink: false,
  },
  {
    runs: 600,
    seed: 20_261_207,
    replicas: 3,
    beginning: ModelBeginning.Seeds,
    shouldShrink: false,
  },
  {
    runs: 300,
    seed: 20_261_208,
    replicas: 5,
    beginning: ModelBeginning.Seeds,
    shouldShrink: false,
  },
];

for (const check of checks) {
  const { replicas, beginning = ModelBeginning.Group } = check;
  test(`the invariants hold under random faults with ${String(replicas)} replicas ${beginning}`, async t => {
    const report = await checkModel(check);
    t.log(report.text);
    t.false(report.hasFailed, report.text);
  });
}
