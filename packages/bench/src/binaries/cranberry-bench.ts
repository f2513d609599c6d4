#!/usr/bin/env node
/** The command line of the bench. */
import { CranberryError } from '@cranberryturn/errors';
import { Command } from 'commander';

import { addBindingCommand } from '../commands/binding-command.js';
import { addCapacityCommand } from '../commands/capacity-command.js';
import { addCheckCommand } from '../commands/check-command.js';
import { addControlCommand } from '../commands/control-command.js';
import { addDoubleSubmitCommand } from '../commands/double-submit-command.js';
import { addLatenessCommand } from '../commands/lateness-command.js';
import { addPoliciesCommand } from '../commands/policies-command.js';
import { addReportCommand } from '../commands/report-command.js';
import { addRunCommand } from '../commands/run-command.js';
import { addSlopesCommand } from '../commands/slopes-command.js';
import { addSweepCommand } from '../commands/sweep-command.js';
import { addTraceCommands } from '../commands/trace-commands.js';

const program = new Command('cranberry-bench').description(
  'Measures cranberryturn on this machine and checks its invariants.',
);
addRunCommand(program);
addSlopesCommand(program);
addControlCommand(program);
addCheckCommand(program);
addDoubleSubmitCommand(program);
addPoliciesCommand(program);
addBindingCommand(program);
addLatenessCommand(program);
addReportCommand(program);
addCapacityCommand(program);
addTraceCommands(program);
addSweepCommand(program);

try {
  await program.parseAsync();
} catch (error) {
  const text = error instanceof CranberryError ? error.message : String(error);
  process.stderr.write(`${text}\n`);
  process.exitCode = 1;
}
