/** Runs a role as a program: reads its settings, starts the role, and stops it on a signal. */
import type { CranberryError } from '@cranberryturn/errors';
import { type LogSettings, readSettingsFile } from '@cranberryturn/settings';
import type { NetworkAddress } from '@cranberryturn/types';
import { formatAddress } from '@cranberryturn/wire';
import { Command, CommanderError } from 'commander';
import type { ResultAsync } from 'neverthrow';
import type * as z from 'zod';

import { createNodeProgramHost } from './adapters/node-program-host.js';
import type { ProgramHost } from './ports/program-host.js';
import {
  handleUnexpectedErrors,
  UnexpectedErrorPolicy,
} from './handle-unexpected-errors.js';
import { readProductVersion } from './product-version.js';
import {
  closeRoleEnvironment,
  createRoleEnvironment,
  type RoleEnvironment,
} from './role-environment.js';

/** Exit codes of the programs. */
export enum ExitCode {
  /** The role stopped as planned, or the settings passed `--check-settings`. */
  Success = 0,
  /** The role could not start, its planned stop failed, or a second signal ended the process. */
  Failure = 1,
  /** The command line or the settings are invalid. */
  InvalidSettings = 2,
}

/** Running role. */
export interface RunningRole {
  /** Listening addresses by purpose, for example `callers`. */
  readonly addresses: Readonly<Record<string, NetworkAddress>>;
  /** Planned stop: resolves once the work in flight is finished. */
  stop(): Promise<void>;
}

/** Description of a role that can run as a program. */
export interface RoleProgram<
  Schema extends z.ZodType<{ readonly log: LogSettings }>,
> {
  /** Name of the binary, for example `cranberry-dispatcher`. */
  readonly name: string;
  /** Name of the role, for example `dispatcher`. */
  readonly role: string;
  /** Sentence shown by `--help`. */
  readonly description: string;
  readonly schema: Schema;
  /** What the process does after an error that nothing caught; continues by default. */
  readonly unexpectedErrors?: UnexpectedErrorPolicy | undefined;
  /** Returns the process name used in logs and metrics. */
  processName(settings: z.output<Schema>): string;
  start(
    settings: z.output<Schema>,
    environment: RoleEnvironment,
  ): ResultAsync<RunningRole, CranberryError>;
}

interface ProgramOptions {
  readonly settings: string;
  readonly checkSettings?: boolean;
}

/** Runs `program` until a stop signal, then passes an `ExitCode` to `host`. A failed start or stop sets the exit code. */
export async function runRoleProgram<
  Schema extends z.ZodType<{ readonly log: LogSettings }>,
>(
  program: RoleProgram<Schema>,
  host: ProgramHost = createNodeProgramHost(),
): Promise<void> {
  const options = readCommandLine(program, host);
  if (options === undefined) return;
  const read = readSettingsFile(options.settings, program.schema);
  if (read.isErr()) {
    host.writeError(`${read.error.message}\n`);
    host.exit(ExitCode.InvalidSettings);
    return;
  }
  if (options.checkSettings === true) {
    host.writeOutput(`Settings file ${options.settings} is valid.\n`);
    host.exit(ExitCode.Success);
    return;
  }
  await startRole(program, read.value, host);
}

function readCommandLine(
  program: Pick<RoleProgram<never>, 'name' | 'description'>,
  host: ProgramHost,
): ProgramOptions | undefined {
  const command = new Command(program.name)
    .description(program.description)
    .version(readProductVersion(), '-v, --version', 'print the version')
    .requiredOption('-s, --settings <file>', 'settings, in JSON with comments')
    .option('--check-settings', 'check the settings and exit')
    .allowExcessArguments(false)
    .exitOverride()
    .configureOutput({
      writeOut: text => {
        host.writeOutput(text);
      },
      writeErr: text => {
        host.writeError(text);
      },
    });
  try {
    command.parse(host.commandLine, { from: 'user' });
    return command.opts<ProgramOptions>();
  } catch (error) {
    const code = error instanceof CommanderError ? error.exitCode : undefined;
    host.exit(code === 0 ? ExitCode.Success : ExitCode.InvalidSettings);
    return undefined;
  }
}

async function startRole<
  Schema extends z.ZodType<{ readonly log: LogSettings }>,
>(
  program: RoleProgram<Schema>,
  settings: z.output<Schema>,
  host: ProgramHost,
): Promise<void> {
  const environment = createRoleEnvironment({
    role: program.role,
    process: program.processName(settings),
    log: settings.log,
  });
  // A program that has not started, or whose start failed unexpectedly, has nothing to go on with.
  let policy = UnexpectedErrorPolicy.Exit;
  handleUnexpectedErrors(host, environment, () => policy);
  const stopRequested = listenForSignals(host, environment);
  const started = await program.start(settings, environment);
  if (started.isErr()) {
    const { error } = started;
    environment.logger.error('start failed', { error });
    await closeRoleEnvironment(environment);
    host.writeError(`${program.name} cannot start: ${error.message}\n`);
    host.exit(ExitCode.Failure);
    return;
  }
  policy = program.unexpectedErrors ?? UnexpectedErrorPolicy.Continue;
  reportReady(program.name, started.value, host, environment);
  const signal = await stopRequested;
  await stopRole(started.value, signal, host, environment);
}

/** Resolves with the first signal. The second one ends the process immediately. */
function listenForSignals(
  host: ProgramHost,
  { logger }: RoleEnvironment,
): Promise<string> {
  return new Promise(resolve => {
    let signalCount = 0;
    host.onStopSignal(signal => {
      signalCount += 1;
      if (signalCount === 1) {
        resolve(signal);
        return;
      }
      logger.warn('second stop signal, exiting without a planned stop', {
        signal,
      });
      host.exit(ExitCode.Failure);
    });
  });
}

function reportReady(
  name: string,
  running: RunningRole,
  host: ProgramHost,
  { logger }: RoleEnvironment,
): void {
  const addressTexts = Object.entries(running.addresses).map(
    ([purpose, address]) => `${purpose} ${formatAddress(address)}`,
  );
  host.writeOutput(`${name} is ready: ${addressTexts.join(', ')}\n`);
  logger.info('ready', { addresses: running.addresses });
}

async function stopRole(
  running: RunningRole,
  signal: string,
  host: ProgramHost,
  environment: RoleEnvironment,
): Promise<void> {
  const { logger } = environment;
  logger.info('planned stop begins', { signal });
  let code = ExitCode.Success;
  try {
    await running.stop();
    logger.info('planned stop done');
  } catch (error) {
    logger.error('planned stop failed', { error });
    code = ExitCode.Failure;
  }
  await closeRoleEnvironment(environment);
  host.exit(code);
}
