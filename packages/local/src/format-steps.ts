/** Formats the steps of the demonstration as a table for the terminal. */
import pc from 'picocolors';

import type { DemonstrationStep } from './run-demonstration.js';

const nameWidth = 58;

/** Formats one step as a line of the table, with its line break. */
export function formatStep({
  name,
  detail,
  passed,
}: DemonstrationStep): string {
  const mark = passed ? pc.green('ok  ') : pc.red('FAIL');
  return `${mark}  ${name.padEnd(nameWidth)}  ${detail}\n`;
}
