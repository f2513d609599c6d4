#!/usr/bin/env node
/** Runs the model-based test of the replicated log: `--runs N --seed S [--replicas 3|5] [--founding | --seeds] [--shrink]`. */
import { parseArgs } from 'node:util';

import { checkModel } from '../model/check-model.js';
import { ModelBeginning } from '../model/run-operations.js';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '10000' },
    seed: { type: 'string', default: '1' },
    replicas: { type: 'string', default: '3' },
    founding: { type: 'boolean', default: false },
    seeds: { type: 'boolean', default: false },
    shrink: { type: 'boolean', default: false },
  },
});

function chooseBeginning(): ModelBeginning {
  if (values.seeds) return ModelBeginning.Seeds;
  return values.founding ? ModelBeginning.Founding : ModelBeginning.Group;
}

const report = await checkModel({
  runs: Number(values.runs),
  seed: Number(values.seed),
  replicas: Number(values.replicas),
  beginning: chooseBeginning(),
  shouldShrink: values.shrink,
});
console.log(report.text);
process.exitCode = report.hasFailed ? 1 : 0;
