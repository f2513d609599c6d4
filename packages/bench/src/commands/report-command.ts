/** `cranberry-bench report`: writes saved results as one HTML page with plots. */
import { writeFile } from 'node:fs/promises';

import type { Command } from 'commander';

import { composeReport } from '../report/compose-report.js';
import { loadResult, type ResultFile } from '../results/result-file.js';
import { print } from './shared-options.js';

/** Adds the command to `program`. */
export function addReportCommand(program: Command): void {
  program
    .command('report')
    .description('write saved results of run and slopes as one HTML page')
    .argument('<results...>', 'files written by --save')
    .option('--output <file>', 'page to write', 'report.html')
    .action(report);
}

async function report(
  paths: readonly string[],
  options: { readonly output: string },
): Promise<void> {
  const results = await Promise.all(paths.map(readResult));
  await writeFile(options.output, composeReport(results));
  print(`Wrote ${options.output}.`);
}

async function readResult(path: string): Promise<ResultFile<unknown>> {
  const loaded = await loadResult<unknown>(path);
  if (loaded.isErr()) throw loaded.error;
  return loaded.value;
}
