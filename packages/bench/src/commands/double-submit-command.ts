/** `cranberry-bench double-submit`: submits each job to two dispatcher processes simultaneously. */
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

/** Adds the command to `program`. */
export function addDoubleSubmitCommand(program: Command): void {
  program
    .command('double-submit')
    .description('submit each job to two dispatchers simultaneously')
    .option('--jobs <count>', 'number of jobs', parseCount, defaultJobs)
    .option('--seed <number>', 'seed of the processes', Number, defaultSeed)
    .option('--json', 'print the result as JSON')
    .option('--save <file>', 'save the result as JSON')
    .action(runDoubleSubmit);
}

async function runDoubleSubmit(options: DoubleSubmitOptions): Promise<void> {
  const submission = await runDoubleSubmission(options.jobs, options.seed);
  const lines = [
    `${String(submission.samePairs)} of ${String(submission.jobs)} jobs: both callers got the same complete answer`,
    `${String(submission.tasks)} tasks, ${String(submission.starts)} starts counted by the targets, ${String(submission.doubleStarts.length)} tasks started twice`,
    ...submission.differences,
    ...submission.doubleStarts,
  ];
  await outputResult('double-submit', options, submission, lines.join('\n'));
  const hasNoViolations =
    submission.samePairs === submission.jobs &&
    submission.starts === submission.tasks &&
    submission.doubleStarts.length === 0;
  if (!hasNoViolations) process.exitCode = 1;
}
