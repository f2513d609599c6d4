/** Command line of `cranberryctl`. */
import {
  ExitCode,
  type ProgramHost,
  readProductVersion,
} from '@cranberryturn/program';
import { Command, CommanderError } from 'commander';

import { addConfirmCommand } from './confirm-command.js';
import { addEvacuationCommands } from './evacuation-commands.js';
import { addPlanCommands } from './plan-commands.js';
import { addReadCommands } from './read-commands.js';
import { addSecretCommands } from './secret-commands.js';

/** Runs one command of `cranberryctl`. Calls `host.exit` only with an exit code other than 0. */
export async function runCranberryctl(host: ProgramHost): Promise<void> {
  const program = new Command('cranberryctl')
    .description('Plans and confirms changes, and shows the status.')
    .version(readProductVersion(), '-v, --version', 'print the version')
    .option('-s, --settings <file>', 'settings, in JSON with comments')
    .option('--json', 'print JSON instead of text')
    .option('--no-color', 'print without colours')
    .exitOverride()
    .configureOutput({
      writeOut: text => {
        host.writeOutput(text);
      },
      writeErr: text => {
        host.writeError(text);
      },
    });
  addPlanCommands(program, host);
  addConfirmCommand(program, host);
  addReadCommands(program, host);
  addEvacuationCommands(program, host);
  addSecretCommands(program, host);
  try {
    await program.parseAsync(host.commandLine, { from: 'user' });
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    if (error.exitCode !== 0) host.exit(ExitCode.InvalidSettings);
  }
}
