/** `cranberry-bench policies`: compares the scheduler with other policies under a manual clock. */
import { measureScheduling } from '@cranberryturn/scheduling';
import { createSystemTimerService } from '@cranberryturn/timers';
import type { Command } from 'commander';

import {
  comparePolicies,
  formatComparison,
} from '../policies/compare-policies.js';
import { print } from './shared-options.js';

interface PoliciesOptions {
  readonly seed: string;
  readonly only?: string;
}

const defaultSeed = '42';
const measuredJobs = 200_000;
const slots = 8;
const measuredTargets: readonly number[] = [11, 1_600];

/** Adds the command to `program`. */
export function addPoliciesCommand(program: Command): void {
  program
    .command('policies')
    .description('compare placement policies against fake targets')
    .option('--seed <number>', 'seed of arrivals and run times', defaultSeed)
    .option('--only <policy>', 'run only this policy, for example product')
    .action(runPolicies);
}

function runPolicies(options: PoliciesOptions): void {
  print(`Seed ${options.seed}. Manual clock: the figures repeat exactly.`);
  print(formatComparison(comparePolicies(Number(options.seed), options.only)));
  const timers = createSystemTimerService();
  for (const targets of measuredTargets) {
    const load = { targets, slots, jobs: measuredJobs };
    const { startsPerSecond } = measureScheduling(timers, load);
    print(
      `Scheduler alone, ${String(targets)} targets: ${startsPerSecond.toFixed(0)} starts a second.`,
    );
  }
}
