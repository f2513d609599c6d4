/** `cranberry-bench check`: checks the invariants on saved decision logs. */
import type { Command } from 'commander';

import { checkDecisions } from '../checker/check-decisions.js';
import { readDecisionLog } from '../checker/read-decision-log.js';
import { defaultCheckOptions } from '../checker/violation.js';
import { print } from './shared-options.js';

/** Adds the command to `program`. */
export function addCheckCommand(program: Command): void {
  program
    .command('check')
    .description('check the invariants on the decision logs of all processes')
    .argument('<logs...>', 'decision logs of one run, one for each process')
    .option('--strict', 'count a repeat of an idempotent task as a violation')
    .action(check);
}

async function check(
  paths: readonly string[],
  options: { readonly strict?: boolean },
): Promise<void> {
  const logs = await Promise.all(
    paths.map(async path => {
      const log = await readDecisionLog(path);
      if (log.isErr()) throw log.error;
      return log.value;
    }),
  );
  const records = logs.flat();
  const violations = checkDecisions(records, {
    ...defaultCheckOptions,
    canRepeatIdempotentTasks: options.strict !== true,
  });
  for (const one of violations) {
    print(`${one.kind}: ${one.subject}: ${one.detail}`);
  }
  print(
    `${String(records.length)} decisions, ${String(violations.length)} violations`,
  );
  if (violations.length > 0) process.exitCode = 1;
}
