/** `cranberry-bench record` and `cranberry-bench replay`: write and check the traces of bench/traces. */
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';

import { createSystemTimerService } from '@cranberryturn/timers';
import type { Command } from 'commander';

import { SubmissionOutcome } from '../load/job-client.js';
import type { UnmetExpectation } from '../traces/evaluate-trace.js';
import { recordTrace } from '../traces/record-trace.js';
import { replayTrace } from '../traces/replay-trace.js';
import { readTrace, writeTrace } from '../traces/trace-file.js';
import { listTraceScripts } from '../traces/trace-scripts.js';
import { defaultSeed, parseCount, print } from './shared-options.js';

/** Folder of the traces that CI replays. */
export const tracesFolder = 'bench/traces';

/** Adds both commands to `program`. */
export function addTraceCommands(program: Command): void {
  program
    .command('record')
    .description('record the traces from the real roles over loopback')
    .option('--only <text>', 'only traces whose name contains this', '')
    .option('--seed <n>', 'seed of the processes', parseCount, defaultSeed)
    .option('--folder <path>', 'folder to write to', tracesFolder)
    .action(record);
  program
    .command('replay')
    .description(
      'replay traces under the manual clock and check their expectations',
    )
    .argument('<traces...>', 'files of bench/traces')
    .action(replay);
}

async function record(options: {
  readonly only: string;
  readonly seed: number;
  readonly folder: string;
}): Promise<void> {
  const timers = createSystemTimerService();
  await mkdir(options.folder, { recursive: true });
  for (const script of listTraceScripts()) {
    if (!script.name.includes(options.only)) continue;
    const { trace, unmet } = await recordTrace(script, options.seed, timers);
    await writeTrace(join(options.folder, `${script.name}.jsonl`), trace);
    const complete = trace.observed.filter(
      one => one.outcome === SubmissionOutcome.Complete,
    ).length;
    print(
      `${script.name}: ${String(complete)} of ${String(trace.observed.length)} submissions complete, seed ${String(options.seed)}`,
    );
    for (const one of unmet) print(describeUnmet(one));
  }
}

async function replay(paths: readonly string[]): Promise<void> {
  for (const path of paths) {
    const trace = await readTrace(path);
    if (trace.isErr()) throw trace.error;
    const { submissions, unmet } = await replayTrace(trace.value);
    const complete = submissions.filter(
      one => one.reply.outcome === SubmissionOutcome.Complete,
    ).length;
    print(
      `${trace.value.header.name}: ${String(complete)} of ${String(submissions.length)} submissions complete, ${unmet.length === 0 ? 'as stated' : 'NOT AS STATED'}, seed ${String(trace.value.header.seed)}`,
    );
    for (const one of unmet) print(describeUnmet(one));
    if (unmet.length > 0) process.exitCode = 1;
  }
}

function describeUnmet({ expectation, detail }: UnmetExpectation): string {
  return `  not met: ${expectation.kind}: ${detail}`;
}
