/** `cranberry-bench slopes`: measures the cost of each role as one dimension at a time grows. */
import type { Command } from 'commander';

import { formatNumber, formatTable } from '../report/format-table.js';
import { measureSlopes, type Slope } from '../slopes/measure-slopes.js';
import { measuredQuantities, type SizeReading } from '../slopes/reading.js';
import type { Scenario } from '../slopes/scenario.js';
import { scenarios } from '../slopes/scenarios.js';
import {
  defaultSeed,
  outputResult,
  type MeasuringOptions,
  parseCount,
  print,
} from './shared-options.js';

interface SlopesOptions extends MeasuringOptions {
  readonly only?: string;
}

/** Adds the command to `program`. */
export function addSlopesCommand(program: Command): void {
  program
    .command('slopes')
    .description('measure the cost of each role against its sizes')
    .option('--only <text>', 'only scenarios whose name contains this')
    .option('--seed <n>', 'seed', parseCount, defaultSeed)
    .option('--json', 'print JSON')
    .option('--save <file>', 'save the result')
    .action(runSlopes);
}

async function runSlopes(options: SlopesOptions): Promise<void> {
  const chosen = scenarios.filter(scenario =>
    scenario.name.includes(options.only ?? ''),
  );
  const slopes = await measureSlopes(
    chosen,
    options.seed,
    (scenario, reading) => {
      if (options.json !== true) print(describeReading(scenario, reading));
    },
  );
  await outputResult('slopes', options, slopes, formatSlopes(slopes));
}

function describeReading(scenario: Scenario, reading: SizeReading): string {
  const values = measuredQuantities
    .map(quantity => `${quantity} ${formatNumber(reading[quantity])}`)
    .join(', ');
  return `${scenario.name} at ${String(reading.size)} ${scenario.dimension}: ${values}`;
}

/** Formats the fitted lines as a table, one row per scenario and quantity. */
export function formatSlopes(slopes: readonly Slope[]): string {
  const rows = slopes.flatMap(slope =>
    measuredQuantities.map(quantity => {
      const line = slope.lines[quantity];
      return [
        `${slope.name}: ${quantity}`,
        formatNumber(line.intercept),
        formatNumber(line.slope),
        formatNumber(line.residual),
        formatNumber(line.determination),
      ];
    }),
  );
  return [
    'Processor time, messages and bytes are for each unit of work; memory is that of the whole process.',
    formatTable(
      ['line', 'at size 0', 'for each unit of size', 'residual', 'R2'],
      rows,
    ),
  ].join('\n');
}
