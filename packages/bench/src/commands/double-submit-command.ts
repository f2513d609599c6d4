/** `cranberry-bench double-submit`: each job to two dispatchers at the same moment, as real processes. */
import type { Command } from 'commander';

import { runDoubleSubmission } from '../processes/double-submit.js';
import {
  defaultSeed,
  outputResult,
  type MeasuringOptions,
  parseCount,
} from './shared-options.js';

const defaultJobs = 500;

interface DoubleSubmitOptions extends MeasuringOptions {
  readonly jobs: number;
}

/** Adds the command. */
export function addDoubleSubmitCommand(program: Command): void {
  program
    .command('double-submit')
    .description('submit each job to two dispatchers at the same moment')
    .option('--jobs <count>', 'number of jobs', parseCount, defaultJobs)
    .option('--seed <number>', 'seed of the processes', Number, defaultSeed)
    .option('--json', 'print the result as JSON')
    .option('--save <file>', 'save the result as JSON')
    .action(runDoubleSubmit);
}

async function runDoubleSubmit(options: DoubleSubmitOptions): Promise<void> {
  const seen = await runDoubleSubmission(options.jobs, options.seed);
  const lines = [
    `${String(seen.samePairs)} of ${String(seen.jobs)} jobs: both callers got the same whole answer`,
    `${String(seen.tasks)} tasks, ${String(seen.starts)} starts counted by the targets, ${String(seen.doubleStarts.length)} tasks started twice`,
    ...seen.differences,
    ...seen.doubleStarts,
  ];
  await outputResult('double-submit', options, seen, lines.join('\n'));
  const hasNoViolations =
    seen.samePairs === seen.jobs &&
    seen.starts === seen.tasks &&
    seen.doubleStarts.length === 0;
  if (!hasNoViolations) process.exitCode = 1;
}
