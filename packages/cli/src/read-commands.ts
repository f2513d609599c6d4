/** Read-only commands: `status` and `history`. */
import type { ProgramHost } from '@cranberryturn/program';
import type { Command } from 'commander';

import { openSession, type SessionOptions } from './command-session.js';
import { renderHistory, renderStatus } from './render-status.js';

const defaultHistoryLimit = '20';

/** Adds `status` and `history` to the command line. */
export function addReadCommands(program: Command, host: ProgramHost): void {
  program
    .command('status')
    .description('show control hosts, dispatchers, workers and their state')
    .action(async () => {
      const session = openSession(host, program.opts<SessionOptions>());
      if (session === undefined) return;
      (await session.client.status()).match(
        view => {
          session.print(view, renderStatus(view, session.colors));
        },
        error => {
          session.fail(error);
        },
      );
    });
  program
    .command('history')
    .description('show who changed what, and when')
    .option('--limit <count>', 'maximum changes shown', defaultHistoryLimit)
    .action(async (options: { readonly limit: string }) => {
      const session = openSession(host, program.opts<SessionOptions>());
      if (session === undefined) return;
      (await session.client.history(Number(options.limit))).match(
        view => {
          session.print(view, renderHistory(view));
        },
        error => {
          session.fail(error);
        },
      );
    });
}
