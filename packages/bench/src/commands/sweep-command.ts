/** `cranberry-bench sweep`: runs random submissions and faults and checks the guarantees. */
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';

import type { Command } from 'commander';

import { planSweepTrace } from '../sweep/plan-sweep-trace.js';
import { runSweep, type SweepRun } from '../sweep/run-sweep.js';
import { writeTrace } from '../traces/trace-file.js';
import { defaultSeed, parseCount, print } from './shared-options.js';

interface SweepOptions {
  readonly runs: number;
  readonly seed: number;
  readonly saveBroken?: string;
}

const defaultRuns = 200;

/** Adds the command to `program`. */
export function addSweepCommand(program: Command): void {
  program
    .command('sweep')
    .description('run random submissions and faults under the manual clock')
    .option('--runs <n>', 'number of seeds', parseCount, defaultRuns)
    .option('--seed <n>', 'first seed', parseCount, defaultSeed)
    .option(
      '--save-broken <folder>',
      'write the traces that violate a guarantee',
    )
    .action(sweep);
}

async function sweep(options: SweepOptions): Promise<void> {
  const runs = await runSweep(options.seed, options.runs, run => {
    for (const violation of run.violations) {
      print(`seed ${String(run.seed)}: ${violation}`);
    }
  });
  const broken = runs.filter(run => run.violations.length > 0);
  print(describeRuns(options, runs, broken.length));
  if (broken.length === 0) return;
  process.exitCode = 1;
  if (options.saveBroken === undefined) return;
  await mkdir(options.saveBroken, { recursive: true });
  for (const { seed } of broken) {
    const trace = { ...planSweepTrace(seed), expectations: [] };
    const file = join(options.saveBroken, `${trace.header.name}.jsonl`);
    await writeTrace(file, trace);
    print(`saved ${file}`);
  }
}

function describeRuns(
  { seed }: SweepOptions,
  runs: readonly SweepRun[],
  broken: number,
): string {
  const sum = (pick: (run: SweepRun) => number): number =>
    runs.reduce((total, run) => total + pick(run), 0);
  const submissions = sum(run => run.submissions);
  const complete = sum(run => run.complete);
  return `${String(runs.length)} runs from seed ${String(seed)}: ${String(submissions)} submissions, ${String(complete)} complete; ${String(broken)} runs violate a guarantee`;
}
