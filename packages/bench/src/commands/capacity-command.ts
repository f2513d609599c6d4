/** `cranberry-bench capacity`: computes the tables of docs/CAPACITY.md from saved slopes. */
import { readFile, writeFile } from 'node:fs/promises';

import type { Command } from 'commander';

import {
  formatCapacityTable,
  replaceTables,
} from '../capacity/capacity-table.js';
import { computeCapacity } from '../capacity/compute-capacity.js';
import { loadResult } from '../results/result-file.js';
import type { Slope } from '../slopes/measure-slopes.js';
import { print, resultsFolder } from './shared-options.js';

/** Page that contains the tables, from the root of the repository. */
export const capacityPage = 'docs/CAPACITY.md';

/** Adds the command to `program`. */
export function addCapacityCommand(program: Command): void {
  program
    .command('capacity')
    .description('compute the tables of docs/CAPACITY.md from saved slopes')
    .option('--slopes <file>', 'saved slopes', `${resultsFolder}/slopes.json`)
    .option('--write', `write the tables to ${capacityPage}`)
    .action(showCapacity);
}

async function showCapacity(options: {
  readonly slopes: string;
  readonly write?: boolean;
}): Promise<void> {
  const slopes = await loadResult<readonly Slope[]>(options.slopes);
  if (slopes.isErr()) throw slopes.error;
  const tables = computeCapacity(slopes.value);
  if (options.write !== true) {
    print(tables.map(formatCapacityTable).join('\n\n'));
    return;
  }
  const page = await readFile(capacityPage, 'utf8');
  await writeFile(capacityPage, replaceTables(page, tables));
  print(`Wrote the tables to ${capacityPage}.`);
}
