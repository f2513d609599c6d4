/** `cranberry-bench binding`: compares ways to bind tasks to workers in a simulation. */
import type { Command } from 'commander';

import { compareBinding, formatBinding } from '../binding/compare-binding.js';
import { parseCount, print } from './shared-options.js';

interface BindingOptions {
  readonly dispatchers: number;
  readonly workers: number;
  readonly seconds: number;
}

const defaultDispatchers = 6;
const defaultWorkers = 11;
const defaultSeconds = 30;
const millisecondsPerSecond = 1_000;
const seeds: readonly number[] = [5, 6, 7];
const factors: readonly number[] = [1, 1.15, 1.3];

/** Adds the command to `program`. */
export function addBindingCommand(program: Command): void {
  program
    .command('binding')
    .description('compare when and by whom tasks are bound to workers')
    .option(
      '--dispatchers <number>',
      'number of dispatchers',
      parseCount,
      defaultDispatchers,
    )
    .option(
      '--workers <number>',
      'number of workers',
      parseCount,
      defaultWorkers,
    )
    .option(
      '--seconds <number>',
      'length of the load',
      parseCount,
      defaultSeconds,
    )
    .action(({ dispatchers, workers, seconds }: BindingOptions) => {
      const rows = compareBinding({
        seeds,
        factors,
        dispatchers,
        workers,
        durationMilliseconds: seconds * millisecondsPerSecond,
      });
      print(`Seeds ${seeds.join(', ')}. The figures repeat exactly.`);
      print(formatBinding(rows));
    });
}
