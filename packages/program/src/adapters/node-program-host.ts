/** `ProgramHost` of a Node.js process. */
import type { ProgramHost } from '../ports/program-host.js';

const argumentsBeforeCommandLine = 2;

/** Creates the host of the current process; SIGTERM and SIGINT are its stop signals. */
export function createNodeProgramHost(): ProgramHost {
  return {
    commandLine: process.argv.slice(argumentsBeforeCommandLine),
    writeOutput: text => void process.stdout.write(text),
    writeError: text => void process.stderr.write(text),
    onStopSignal: handler => {
      process.on('SIGTERM', handler);
      process.on('SIGINT', handler);
    },
    onUnexpectedError: handler => {
      process.on('uncaughtException', handler);
      process.on('unhandledRejection', handler);
    },
    exit: code => process.exit(code),
  };
}
