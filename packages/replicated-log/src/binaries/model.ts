#!/usr/bin/env node
/** Runs the model-based test of the replicated log: `--runs N --seed S [--replicas 3|5] [--founding] [--shrink]`. */
import { parseArgs } from 'node:util';

import { checkModel } from '../model/check-model.js';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '10000' },
    seed: { type: 'string', default: '1' },
    replicas: { type: 'string', default: '3' },
    founding: { type: 'boolean', default: false },
    shrink: { type: 'boolean', default: false },
  },
});

const report = await checkModel({
  runs: Number(values.runs),
  seed: Number(values.seed),
  replicas: Number(values.replicas),
  beginsWithFounding: values.founding,
  shouldShrink: values.shrink,
});
console.log(report.text);
process.exitCode = report.hasFailed ? 1 : 0;
