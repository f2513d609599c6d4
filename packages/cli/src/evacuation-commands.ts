/** Commands that evacuate data centres: `evacuate`, `end-evacuation` and `evacuations`. */
import type {
  EvacuationOrderView,
  EvacuationsView,
} from '@cranberryturn/configuration';
import type { ProgramHost } from '@cranberryturn/program';
import type { DataCentreName } from '@cranberryturn/types';
import type { Command } from 'commander';

import {
  type CommandSession,
  openSession,
  type SessionOptions,
} from './command-session.js';

/** Adds the commands to the command line. */
export function addEvacuationCommands(
  program: Command,
  host: ProgramHost,
): void {
  addOrderCommand(program, host, {
    name: 'evacuate',
    description: 'start no more tasks on the workers of a data centre',
    isEvacuated: true,
  });
  addOrderCommand(program, host, {
    name: 'end-evacuation',
    description: 'let the workers of a data centre start tasks again',
    isEvacuated: false,
  });
  program
    .command('evacuations')
    .description('show the evacuated data centres')
    .action(async () => {
      const session = openSession(host, program.opts<SessionOptions>());
      if (session === undefined) return;
      (await session.client.evacuations()).match(
        view => {
          session.print(view, renderEvacuations(view));
        },
        error => {
          session.fail(error);
        },
      );
    });
}

interface OrderCommand {
  readonly name: string;
  readonly description: string;
  readonly isEvacuated: boolean;
}

function addOrderCommand(
  program: Command,
  host: ProgramHost,
  { name, description, isEvacuated }: OrderCommand,
): void {
  program
    .command(name)
    .description(description)
    .argument('<data-centre>', 'its name in the settings of control')
    .action(async (dataCentre: DataCentreName) => {
      const session = openSession(host, program.opts<SessionOptions>());
      if (session === undefined) return;
      const ordered = await session.client.orderEvacuation(
        dataCentre,
        isEvacuated,
      );
      ordered.match(
        view => {
          const text = renderOrder(session, view, dataCentre, isEvacuated);
          session.print(view, text);
        },
        error => {
          session.fail(error);
        },
      );
    });
}

function renderOrder(
  { colors }: CommandSession,
  { version, changed }: EvacuationOrderView,
  dataCentre: DataCentreName,
  isEvacuated: boolean,
): string {
  const state = isEvacuated ? 'evacuated' : 'not evacuated';
  const when = changed ? 'as of' : 'and was so before; the latest is';
  return `${colors.green('done')}  ${dataCentre} is ${state}, ${when} version ${String(version)}.\n`;
}

function renderEvacuations({ version, evacuations }: EvacuationsView): string {
  const lines = evacuations.map(
    ({ dataCentre, since }) =>
      `  ${dataCentre}  since ${new Date(since).toISOString()}`,
  );
  const title =
    lines.length === 0 ? 'No data centre is evacuated' : 'Evacuated';
  return `${[`${title}, version ${String(version)}.`, ...lines].join('\n')}\n`;
}
