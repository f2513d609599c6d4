/** `cranberry-bench lateness`: shows where the time of late jobs goes, from the logs of all processes. */
import type { Command } from 'commander';

import { readLog } from '../lateness/read-log.js';
import { reportLateness } from '../lateness/report-lateness.js';
import { print } from './shared-options.js';

/** Adds the command to `program`. */
export function addLatenessCommand(program: Command): void {
  program
    .command('lateness')
    .description(
      'show the stages of late jobs and the processors that are idle while tasks wait',
    )
    .argument('<log>', 'log lines of all dispatchers and sidecars')
    .action(async (path: string) => {
      print(reportLateness(await readLog(path)));
    });
}
