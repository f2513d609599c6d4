/** Commands that create tokens and shared keys. They need neither settings nor a connection. */
import {
  createSharedKey,
  createToken,
  digestToken,
} from '@cranberryturn/authentication';
import { ExitCode, type ProgramHost } from '@cranberryturn/program';
import type { Command } from 'commander';

import { writeSecretFile } from './write-secret-file.js';

/** Adds `token create` and `key create` to the command line. */
export function addSecretCommands(program: Command, host: ProgramHost): void {
  const token = program.command('token').description('bearer tokens');
  token
    .command('create')
    .description('create a token for a team or an operator')
    .option('--file <file>', 'write the token to a new file, do not print it')
    .action((options: { readonly file?: string }) => {
      printNewToken(host, options.file);
    });
  const key = program
    .command('key')
    .description('shared keys of the processes');
  key
    .command('create')
    .description('create a shared key file')
    .argument('<file>', 'the new file')
    .action((file: string) => {
      createKeyFile(host, file);
    });
}

function printNewToken(host: ProgramHost, file: string | undefined): void {
  const token = createToken();
  const digest = `Digest, for "tokenDigests" in the settings:\n  ${digestToken(token)}\n`;
  if (file === undefined) {
    host.writeOutput(
      `Token, shown only this once; give it to its holder:\n  ${token}\n${digest}`,
    );
    return;
  }
  writeSecretFile(file, `${token}\n`).match(
    () => {
      host.writeOutput(
        `Token written to ${file}, readable by you only.\n${digest}`,
      );
    },
    error => {
      exitWithError(host, error);
    },
  );
}

function createKeyFile(host: ProgramHost, file: string): void {
  const text = `# Shared key of cranberryturn. Copy this file to every host; chmod 600.\n${createSharedKey()}\n`;
  writeSecretFile(file, text).match(
    () => {
      host.writeOutput(
        `Shared key written to ${file}, readable by you only.\nCopy it to the same place on every host, and name it as "sharedKeyFile" in the settings.\n`,
      );
    },
    error => {
      exitWithError(host, error);
    },
  );
}

function exitWithError(host: ProgramHost, error: Error): void {
  host.writeError(`${error.message}\n`);
  host.exit(ExitCode.Failure);
}
