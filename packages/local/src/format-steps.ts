/** Writes the steps of the demonstration as a table for a person. */
import pc from 'picocolors';

import type { DemonstrationStep } from './run-demonstration.js';

const nameWidth = 58;

/** One line of the table. */
export function formatStep({
  name,
  detail,
  passed,
}: DemonstrationStep): string {
  const mark = passed ? pc.green('ok  ') : pc.red('FAIL');
  return `${mark}  ${name.padEnd(nameWidth)}  ${detail}\n`;
}
