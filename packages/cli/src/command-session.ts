/** Settings, token, client, output and exit code shared by all commands that call the administration API. */
import { readFileSync } from 'node:fs';

import {
  AuthenticationError,
  ConflictError,
  type CranberryError,
  InvalidInputError,
  UnavailableError,
} from '@cranberryturn/errors';
import type { ProgramHost } from '@cranberryturn/program';
import {
  type CommandLineSettings,
  commandLineSettingsSchema,
  readSettingsFile,
} from '@cranberryturn/settings';
import {
  createSystemTimerService,
  type TimerService,
} from '@cranberryturn/timers';
import { err, ok, type Result } from 'neverthrow';
import picocolors from 'picocolors';

import {
  type AdministrationClient,
  createAdministrationClient,
} from './administration-client.js';
import { CommandExitCode } from './exit-codes.js';

const defaultSettingsFile = '/etc/cranberryturn/cranberryctl.jsonc';

/** Options of all commands that call the administration API. */
export interface SessionOptions {
  readonly settings?: string;
  readonly json?: boolean;
  readonly color?: boolean;
}

/** Client and output of one command. */
export interface CommandSession {
  readonly client: AdministrationClient;
  readonly colors: ReturnType<typeof picocolors.createColors>;
  readonly timers: TimerService;
  /** Prints `view` as JSON with `--json`, and `text` otherwise. */
  print(view: unknown, text: string): void;
  /** Prints a progress line; nothing with `--json`. */
  printProgress(line: string): void;
  /** Prints the error and exits with the code of its kind. */
  fail(error: CranberryError): void;
  finish(code: CommandExitCode): void;
}

/** Reads the settings and the token. When either fails, prints the error, exits and returns undefined. */
export function openSession(
  host: ProgramHost,
  options: SessionOptions,
): CommandSession | undefined {
  const file =
    options.settings ??
    process.env['CRANBERRY_SETTINGS'] ??
    defaultSettingsFile;
  const opened = readSettingsFile(file, commandLineSettingsSchema).andThen(
    settings => readToken(settings).map(token => ({ settings, token })),
  );
  if (opened.isErr()) {
    host.writeError(`${opened.error.message}\n`);
    host.exit(CommandExitCode.Invalid);
    return undefined;
  }
  return createSession(
    host,
    options,
    opened.value.settings,
    opened.value.token,
  );
}

function createSession(
  host: ProgramHost,
  options: SessionOptions,
  settings: CommandLineSettings,
  token: string,
): CommandSession {
  const timers = createSystemTimerService();
  const json = options.json === true;
  const colors = picocolors.createColors(
    options.color !== false && !json && picocolors.isColorSupported,
  );
  return {
    colors,
    timers,
    client: createAdministrationClient({
      hosts: settings.administration,
      token,
      timeoutMilliseconds: settings.timeoutMilliseconds,
      timers,
    }),
    print: (view, text) => {
      host.writeOutput(json ? `${JSON.stringify(view)}\n` : text);
    },
    printProgress: line => {
      if (!json) host.writeOutput(`${line}\n`);
    },
    fail: error => {
      const { name, message } = error;
      host.writeError(
        json
          ? `${JSON.stringify({ error: message, kind: name })}\n`
          : `${colors.red('error')}  ${message}\n`,
      );
      host.exit(chooseExitCode(error));
    },
    finish: code => {
      if (code !== CommandExitCode.Success) host.exit(code);
    },
  };
}

function readToken(
  settings: CommandLineSettings,
): Result<string, InvalidInputError> {
  const environmentToken = process.env['CRANBERRY_TOKEN'];
  if (environmentToken !== undefined) return ok(environmentToken.trim());
  const { tokenFile } = settings;
  if (tokenFile === undefined) {
    return err(
      new InvalidInputError(
        'The operator token is missing; set CRANBERRY_TOKEN, or name "tokenFile" in the settings.',
        { step: 'read token' },
      ),
    );
  }
  try {
    return ok(readFileSync(tokenFile, 'utf8').trim());
  } catch (cause) {
    return err(
      new InvalidInputError(
        `The token file ${tokenFile} cannot be read; create one with \`cranberryctl token create --file ${tokenFile}\`.`,
        { step: 'read token' },
        cause,
      ),
    );
  }
}

function chooseExitCode(error: CranberryError): CommandExitCode {
  if (error instanceof ConflictError) return CommandExitCode.Conflict;
  if (error instanceof InvalidInputError) return CommandExitCode.Invalid;
  if (error instanceof AuthenticationError) return CommandExitCode.Invalid;
  if (error instanceof UnavailableError) return CommandExitCode.Unavailable;
  return CommandExitCode.Failure;
}
